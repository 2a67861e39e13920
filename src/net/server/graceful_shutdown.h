// The graceful shutdown of a gateway process.
#pragma once

#include <functional>

#include "net/transport/clock.h"
#include "net/transport/timer_queue.h"

namespace gateway::net {

// Drains the clients, then waits for at most 1 s until no usage is pending, then stops discovery and reports
// completion.
class GracefulShutdown {
public:
    struct Hooks {
        // Answers the accepted requests, and calls its argument when no client is connected any more.
        std::function<void(std::function<void()>)> drainClients;
        // Returns whether no usage is waiting to be sent to the counter service and no call to the counter
        // service is in flight.
        std::function<bool()> hasNoPendingUsage;
        std::function<void()> stopDiscovery;
    };

    // `timers` must outlive this object. It must not run a timer after this object is destroyed.
    GracefulShutdown(TimerQueue& timers, Hooks hooks);

    // Starts the shutdown and calls `onComplete` at the end. Must be called only once.
    void start(std::function<void()> onComplete);

private:
    void completeWhenNoUsageIsPending();

    TimerQueue& timers_;
    Hooks hooks_;
    std::function<void()> onComplete_;
    SteadyTimePoint pendingUsageDeadline_{};
};

}  // namespace gateway::net
