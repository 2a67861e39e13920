#include "net/server/readiness.h"

namespace gateway::net {

void Readiness::recordEndpointList(UpdateKind kind, bool isEmpty) {
    if (!isEmpty || kind == UpdateKind::snapshot) hasUsableList_ = true;
    if (kind != UpdateKind::cached) isListCurrent_ = true;
}

void Readiness::start(bool awaitsInitialUpdate) {
    if (!hasUsableList_) timers_.after(limits_.emptyListWait, [this] { hasUsableList_ = true; });
    isListCurrent_ = !awaitsInitialUpdate || limits_.initialUpdateWait <= Duration::zero();
    if (!isListCurrent_) timers_.after(limits_.initialUpdateWait, [this] { isListCurrent_ = true; });
}

}  // namespace gateway::net
