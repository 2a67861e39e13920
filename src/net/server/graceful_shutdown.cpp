#include "net/server/graceful_shutdown.h"

#include <utility>

namespace gateway::net {

using std::chrono::steady_clock;

namespace {

constexpr Duration kMaxReconcileTime = std::chrono::seconds(1);
constexpr Duration kReconcilePollInterval = std::chrono::milliseconds(20);

}  // namespace

GracefulShutdown::GracefulShutdown(TimerQueue& timers, Hooks hooks)
    : timers_(timers), hooks_(std::move(hooks)) {}

void GracefulShutdown::start(std::function<void()> onComplete) {
    onComplete_ = std::move(onComplete);
    hooks_.drainClients([this] {
        reconcileDeadline_ = steady_clock::now() + kMaxReconcileTime;
        completeWhenReconciled();
    });
}

void GracefulShutdown::completeWhenReconciled() {
    if (!hooks_.isReconciled() && steady_clock::now() < reconcileDeadline_) {
        timers_.schedule(kReconcilePollInterval, [this] { completeWhenReconciled(); });
        return;
    }
    hooks_.stopDiscovery();
    onComplete_();
}

}  // namespace gateway::net
