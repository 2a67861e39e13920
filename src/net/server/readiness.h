// Whether this process is ready for traffic, as its readiness path reports it.
#pragma once

#include "gateway/events.h"
#include "net/transport/timer_queue.h"

namespace gateway::net {

// A new process is ready once it has an endpoint list that is recent enough to serve from. Both conditions
// have a time limit, since a process that never becomes ready counts as failed. A ready process stays ready.
class Readiness {
public:
    struct Limits {
        // How long a process that was configured with an empty list waits for another one.
        Duration emptyListWait{};
        // How long a process waits for discovery's first update; 0: not at all.
        Duration initialUpdateWait{};
    };

    // `timers` must outlive this object, and this object the timers' last run.
    Readiness(TimerQueue& timers, const Limits& limits) : timers_(timers), limits_(limits) {}

    // Records an endpoint list. A list of discovery's, unlike a cached one, is the update that is awaited.
    void noteEndpointList(UpdateKind kind, bool isEmpty);

    // Starts the time limits. Precondition: the configured list has been noted. `awaitsInitialUpdate`:
    // whether discovery pushes its list unasked.
    void start(bool awaitsInitialUpdate);

    bool isReady() const { return hasUsableList_ && isListCurrent_; }

private:
    TimerQueue& timers_;
    Limits limits_;
    bool hasUsableList_ = false;  // not empty, a snapshot, or the wait for one is over
    bool isListCurrent_ = false;  // updated by discovery, or the wait for the update is over
};

}  // namespace gateway::net
