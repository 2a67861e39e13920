#include "net/client/shed_log.h"

#include <string>
#include <string_view>

#include "net/transport/log.h"

namespace gateway::net {
namespace {

constexpr Duration kLogInterval = std::chrono::seconds(1);
constexpr std::string_view kReasonTexts[] = {
    "rejected incomplete requests with 503 or closed connections of clients that send too fast, since all "
    "connections are in use and clients wait: ",
    "rejected incomplete requests with 503 or closed connections with unread responses, at the memory "
    "limit: ",
};

}  // namespace

void ShedLog::record(ShedReason reason) {
    ++counts_[static_cast<std::size_t>(reason)];
    if (isWriteScheduled_) return;
    isWriteScheduled_ = true;
    timers_.schedule(kLogInterval, [this] { write(); });
}

void ShedLog::write() {
    isWriteScheduled_ = false;
    for (std::size_t reason = 0; reason < kReasons; ++reason) {
        if (counts_[reason] == 0) continue;
        log(LogLevel::warning, "clients",
            std::string(kReasonTexts[reason]) + std::to_string(counts_[reason]) + " in the last second");
        counts_[reason] = 0;
    }
}

}  // namespace gateway::net
