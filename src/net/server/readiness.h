// Decides whether this process is ready for traffic. The path /-/ready reports the result.
#pragma once

#include "gateway/events.h"
#include "net/transport/timer_queue.h"

namespace gateway::net {

// A new process is ready once it has a usable endpoint list and the list is current, or once the time to wait
// for these is up. The waits are limited, because a process that never becomes ready is treated as failed. A
// ready process stays ready.
class Readiness {
public:
    struct Limits {
        // How long a process whose cached endpoint list is empty waits for another list.
        Duration emptyListWait{};
        // How long a process waits for the first update from discovery; 0: it does not wait.
        Duration initialUpdateWait{};
    };

    // `timers` must outlive this object. It must not run a timer after this object is destroyed.
    Readiness(TimerQueue& timers, const Limits& limits) : timers_(timers), limits_(limits) {}

    // Records an endpoint list. A list of any kind but UpdateKind::cached is an update from discovery.
    void recordEndpointList(UpdateKind kind, bool isEmpty);

    // Starts the waits. Precondition: the cached endpoint list has been recorded. `awaitsInitialUpdate`:
    // whether to wait for the first update from discovery.
    void start(bool awaitsInitialUpdate);

    bool isReady() const { return isListWaitOver_ && isUpdateWaitOver_; }

private:
    TimerQueue& timers_;
    Limits limits_;
    bool isListWaitOver_ = false;  // a usable list (not empty, or a snapshot) was recorded, or the time is up
    bool isUpdateWaitOver_ = false;  // an update was recorded, or the time is up, or none is awaited
};

}  // namespace gateway::net
