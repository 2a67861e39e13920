// Computes when discovery is called next. Uses no sockets, timers or clock.
#pragma once

#include <cstdint>

#include "net/transport/backoff.h"
#include "net/transport/clock.h"

namespace gateway::net {

// The longest time until the gateway knows a change of the endpoint list, however many calls fail in between.
// It is counted from when discovery has the change and is available or, if a watch fell silent, from the last
// byte of the watch.
constexpr Duration kUpdateDeadline = std::chrono::seconds(6);
// The same after SIGHUP, which can change discovery's address.
constexpr Duration kReloadDeadline = std::chrono::seconds(4);
// The time that a call to an available discovery is assumed to take; no call is ended after it. It is
// subtracted from kUpdateDeadline to compute the poll periods.
constexpr Duration kAssumedCallTime = std::chrono::milliseconds(1500);
constexpr Duration kAssumedCallTimeAfterSilence = std::chrono::milliseconds(1200);

// Discovery sends bytes on every watch at least every 2 s. A watch without a byte for this long counts as
// broken.
constexpr Duration kMaxSilence = std::chrono::milliseconds(2300);

// Push only: if a call is not connected after this time, the next call is made. The first one stays open.
constexpr Duration kPushConnectWait = std::chrono::seconds(1);

// The times at which one gateway calls discovery: every t with t mod period == period * index / count on the
// clock that all gateways share. This spreads the calls of a fleet evenly without coordination. Random times
// would cause peaks.
class PollSlots {
public:
    // Clamps `gatewayCount` to 1 or more, and `gatewayIndex` to the range from 0 to gatewayCount - 1.
    PollSlots(int gatewayIndex, int gatewayCount);

    // Returns the time from `now` to the next slot: more than 0 and at most `period`.
    Duration untilNext(TimePoint now, Duration period) const;

private:
    int count_;
    int index_;
};

// Decides when discovery is called next. Each delay function returns the time from `now` until the next call,
// which replaces the time that was returned before.
class DiscoverySchedule {
public:
    // Returns the schedule for an agent on the same machine, which is called without waiting for a slot:
    // calls to it cost nothing, and a change counts as known as soon as the agent has it.
    static DiscoverySchedule forPush(std::uint64_t seed);

    // Returns the schedule for a service that all gateways poll, which queues their calls. `maxPollInterval`
    // is the longest time between two calls of this gateway; 0: no such limit.
    static DiscoverySchedule forPolling(int gatewayIndex, int gatewayCount, Duration maxPollInterval,
                                        std::uint64_t seed);

    // After a call was started. Applies unless the call's progress causes another delay.
    Duration delayAfterStart(TimePoint now) const;
    // After a call was connected and its request written.
    Duration delayAfterRequest(TimePoint now) const;
    // After a call failed: it was refused or rejected, its connection broke, or its response was invalid.
    Duration delayAfterFailure(TimePoint now);
    // After a watch was silent for kMaxSilence.
    Duration delayAfterSilence(TimePoint now);
    // After SIGHUP.
    Duration delayAfterReload(TimePoint now);
    // After a call failed because this process had no free descriptor. Such a call puts no load on discovery.
    Duration delayAfterDescriptorShortage();

    // Must be called when a list was received. Ends the backoff and the fast polling.
    void recordListReceived();

private:
    DiscoverySchedule(const PollSlots& slots, Duration regularPeriod, std::uint64_t seed);

    bool isPolling() const { return regularPeriod_ > Duration::zero(); }
    // Polls with `period` for the time `duration` from `now`. Returns the time until the next slot.
    Duration startFastPolling(TimePoint now, Duration duration, Duration period);
    Duration untilSlot(TimePoint now, Duration period) const;

    PollSlots slots_;
    Duration regularPeriod_;  // 0: push
    // Until this time, failed calls are repeated with fastPollPeriod_ if it is shorter than regularPeriod_.
    TimePoint fastPollUntil_ = TimePoint::min();
    Duration fastPollPeriod_{};
    Backoff backoff_;
};

}  // namespace gateway::net
