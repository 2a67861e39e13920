// The order in which a gateway process shuts down.
#pragma once

#include <functional>

#include "net/transport/clock.h"
#include "net/transport/timer_queue.h"

namespace gateway::net {

// Drains the clients, then lets reconciliations and refunds go out to the counter for 1 s at most, then stops
// discovery and reports completion.
class GracefulShutdown {
public:
    struct Hooks {
        // Answers the requests that were accepted, and calls its argument when no client is left.
        std::function<void(std::function<void()>)> drainClients;
        // Whether all usage has been reported to the counter.
        std::function<bool()> isReconciled;
        std::function<void()> stopDiscovery;
    };

    // `timers` must outlive this object, and this object the timers' last run.
    GracefulShutdown(TimerQueue& timers, Hooks hooks);

    // Starts the shutdown and calls `onComplete` at its end. Must be called once only.
    void start(std::function<void()> onComplete);

private:
    void completeWhenReconciled();

    TimerQueue& timers_;
    Hooks hooks_;
    std::function<void()> onComplete_;
    SteadyTimePoint reconcileDeadline_{};
};

}  // namespace gateway::net
