// When discovery is called next. Arithmetic alone: no sockets, no timers, no clock.
#pragma once

#include <cstdint>

#include "net/transport/backoff.h"
#include "net/transport/clock.h"

namespace gateway::net {

// A change of the endpoint list counts as known this long after discovery had it and could be reached, and
// after the last byte of a watch that fell silent, whatever became of the calls in between.
constexpr Duration kUpdateDeadline = std::chrono::seconds(6);
// The same after SIGHUP, which moves the gateway to another discovery.
constexpr Duration kReloadDeadline = std::chrono::seconds(4);
// How much of these times a call to an available discovery takes, at most.
constexpr Duration kMaxCallTime = std::chrono::milliseconds(1500);
constexpr Duration kMaxCallTimeAfterSilence = std::chrono::milliseconds(1200);

// A live watch sends something every 2 s. After this time without a byte it counts as broken.
constexpr Duration kMaxSilence = std::chrono::milliseconds(2300);

// For an agent on the same machine to accept a call.
constexpr Duration kMaxConnectTime = std::chrono::seconds(1);

// A gateway's own times t, at which t mod period == period * index / count on the clock that all gateways
// share. So a fleet calls at an even rate without coordination; random times would have peaks.
class PollSlots {
public:
    // Values out of range are moved into it: `gatewayCount` to 1 or more, `gatewayIndex` to 0 up to
    // gatewayCount - 1.
    PollSlots(int gatewayIndex, int gatewayCount);

    // Returns the time from `now` to the next slot: more than 0 and at most `period`.
    Duration untilNext(TimePoint now, Duration period) const;

private:
    int count_;
    int index_;
};

// Decides how long the next call to discovery waits. Every function returns that time, counted from `now`; it
// replaces the time that was returned before.
class PollSchedule {
public:
    // For an agent on the same machine: calls cost nothing, and what the agent has counts as known at once.
    static PollSchedule push(std::uint64_t seed);

    // For a service that all gateways poll, with a queue. `maxPollInterval` is the longest time between two
    // calls of this gateway; 0: no such limit.
    static PollSchedule poll(int gatewayIndex, int gatewayCount, Duration maxPollInterval,
                             std::uint64_t seed);

    // After a call has started. Does not depend on how the call goes on.
    Duration delayAfterStart(TimePoint now) const;
    // After the call was connected and its request written.
    Duration delayAfterRequest(TimePoint now) const;
    // After a call failed: refused, rejected, broken, or with an invalid response.
    Duration delayAfterFailure(TimePoint now);
    // After a watch has been silent for kMaxSilence.
    Duration delayAfterSilence(TimePoint now);
    // After SIGHUP.
    Duration delayAfterReload(TimePoint now);
    // After a call failed for want of a descriptor; discovery has not noticed that call.
    Duration delayAfterDescriptorShortage();

    // A list was received: ends the backoff and the urgent period.
    void noteListReceived();

private:
    PollSchedule(const PollSlots& slots, Duration usualPeriod, std::uint64_t seed);

    bool isPolling() const { return usualPeriod_ > Duration::zero(); }
    Duration startUrgentPeriod(TimePoint now, Duration length, Duration period);
    Duration untilSlot(TimePoint now, Duration period) const;

    PollSlots slots_;
    Duration usualPeriod_;  // 0: push
    // Until then failed calls are repeated after this period, if it is shorter than the usual one.
    TimePoint urgentUntil_ = TimePoint::min();
    Duration urgentPeriod_{};
    Backoff backoff_;
};

}  // namespace gateway::net
