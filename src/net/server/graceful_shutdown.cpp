#include "net/server/graceful_shutdown.h"

#include <utility>

namespace gateway::net {

using std::chrono::steady_clock;

namespace {

constexpr Duration kMaxPendingUsageWait = std::chrono::seconds(1);
constexpr Duration kPendingUsagePollInterval = std::chrono::milliseconds(20);

}  // namespace

GracefulShutdown::GracefulShutdown(TimerQueue& timers, Hooks hooks)
    : timers_(timers), hooks_(std::move(hooks)) {}

void GracefulShutdown::start(std::function<void()> onComplete) {
    onComplete_ = std::move(onComplete);
    hooks_.drainClients([this] {
        pendingUsageDeadline_ = steady_clock::now() + kMaxPendingUsageWait;
        completeWhenNoUsageIsPending();
    });
}

void GracefulShutdown::completeWhenNoUsageIsPending() {
    if (!hooks_.hasNoPendingUsage() && steady_clock::now() < pendingUsageDeadline_) {
        timers_.schedule(kPendingUsagePollInterval, [this] { completeWhenNoUsageIsPending(); });
        return;
    }
    hooks_.stopDiscovery();
    onComplete_();
}

}  // namespace gateway::net
