#include "net/server/readiness.h"

namespace gateway::net {

void Readiness::recordEndpointList(UpdateKind kind, bool isEmpty) {
    if (!isEmpty || kind == UpdateKind::snapshot) isListWaitOver_ = true;
    if (kind != UpdateKind::cached) isUpdateWaitOver_ = true;
}

void Readiness::start(bool awaitsInitialUpdate) {
    if (!isListWaitOver_) timers_.schedule(limits_.emptyListWait, [this] { isListWaitOver_ = true; });
    isUpdateWaitOver_ = !awaitsInitialUpdate || limits_.initialUpdateWait <= Duration::zero();
    if (!isUpdateWaitOver_) timers_.schedule(limits_.initialUpdateWait, [this] { isUpdateWaitOver_ = true; });
}

}  // namespace gateway::net
