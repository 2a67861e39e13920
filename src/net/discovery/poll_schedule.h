// When discovery is called, and called again. Arithmetic alone: no sockets, no timers, no clock.
#pragma once

#include <algorithm>
#include <cstdint>

#include "net/transport/backoff.h"
#include "net/transport/clock.h"

namespace gateway::net {

// What discovery has to tell counts 6 s after it had it and could be reached, 6 s after a watch's last word
// and 4 s after SIGHUP, whatever became of the calls before. A call that finds it well gets `kMaxCallTime` of
// that.
constexpr Duration kUpdateDeadline = std::chrono::seconds(6);
constexpr Duration kReloadDeadline = std::chrono::seconds(4);
constexpr Duration kMaxCallTime = std::chrono::milliseconds(1500);
constexpr Duration kMaxCallTimeAfterSilence = std::chrono::milliseconds(1200);  // its time is shorter
// A live watch says something every 2 s; so long after its last word it is taken for broken.
constexpr Duration kMaxSilence = std::chrono::milliseconds(2300);
// For an agent on the own machine to take a call.
constexpr Duration kMaxConnectTime = std::chrono::seconds(1);

// The moments t with t mod period == period * index / gateways, on the clock that all gateways share: `n` of
// them call n / period times a second, evenly, without a word between them. Drawn moments would have peaks.
class PollSlots {
public:
    PollSlots(int gatewayIndex, int gatewayCount)
        : index_(std::clamp(gatewayIndex, 0, std::max(gatewayCount, 1) - 1)),
          count_(std::max(gatewayCount, 1)) {}

    // The first own moment after `now`: more than 0 and at most `period` away.
    Duration until(TimePoint now, Duration period) const {
        const Duration own = period * index_ / count_;
        const Duration past = (now.time_since_epoch() - own) % period;
        return past < Duration::zero() ? -past : period - past;
    }

private:
    int index_;
    int count_;
};

// Each function returns how long from `now` the next call has to wait, if nothing else happens before.
class PollSchedule {
public:
    // An agent on the own machine, at no cost to others: what it gets counts at once.
    static PollSchedule push(std::uint64_t seed) {
        return PollSchedule(PollSlots(0, 1), Duration::zero(), seed);
    }
    // One service with a queue for all gateways. `maxPollInterval`: the longest that it may go uncalled; 0:
    // not set.
    static PollSchedule poll(int gatewayIndex, int gatewayCount, Duration maxPollInterval,
                             std::uint64_t seed) {
        constexpr Duration kUsual = kUpdateDeadline - kMaxCallTime;
        const Duration most =
            maxPollInterval > Duration::zero() ? std::max(maxPollInterval, kMinPeriod) : kUsual;
        return PollSchedule(PollSlots(gatewayIndex, gatewayCount), std::min(kUsual, most), seed);
    }

    // Counted from a call's own beginning, not from when it is given up.
    Duration afterBegin(TimePoint now) const { return polls() ? slot(now, usual_) : kMaxConnectTime; }
    // The connection is up and the request written.
    Duration afterRequest(TimePoint now) const { return polls() ? slot(now, usual_) : kMaxSilence; }
    // Refused, turned away, broken, or answered with what can't be read.
    Duration afterEnd(TimePoint now) {
        if (!polls()) return backoff_.next();
        return slot(now, now < urgentUntil_ ? urgentPeriod_ : usual_);
    }
    // 2.3 s of its term have passed since its last word.
    Duration afterSilence(TimePoint now) {
        return polls() ? urgent(now, kUpdateDeadline - kMaxSilence, kSilentPeriod) : Duration::zero();
    }
    Duration afterReload(TimePoint now) {
        backoff_.reset();
        return polls() ? urgent(now, kReloadDeadline, kReloadPeriod) : Duration::zero();
    }
    // There was no descriptor for it: discovery has seen nothing of that call.
    Duration afterShortage() { return backoff_.next(); }
    // A list was reported.
    void onAnswer() {
        backoff_.reset();
        urgentUntil_ = TimePoint::min();
    }

private:
    static constexpr Duration kMinPeriod = std::chrono::seconds(1);
    static constexpr Duration kSilentPeriod = kUpdateDeadline - kMaxSilence - kMaxCallTimeAfterSilence;
    static constexpr Duration kReloadPeriod = std::chrono::milliseconds(1500);
    static constexpr Duration kBackoffInitial = std::chrono::milliseconds(50);
    static constexpr Duration kBackoffMax = std::chrono::milliseconds(200);

    PollSchedule(const PollSlots& slots, Duration usual, std::uint64_t seed)
        : slots_(slots), usual_(usual), backoff_(kBackoffInitial, kBackoffMax, seed) {}
    bool polls() const { return usual_ > Duration::zero(); }
    // Also one that is turned away comes again so soon while the term lasts.
    Duration urgent(TimePoint now, Duration term, Duration period) {
        urgentUntil_ = now + term;
        urgentPeriod_ = period;
        return slot(now, period);
    }
    Duration slot(TimePoint now, Duration period) const {
        return slots_.until(now, std::min(period, usual_));
    }

    PollSlots slots_;
    Duration usual_;  // period; 0: push
    TimePoint urgentUntil_ = TimePoint::min();
    Duration urgentPeriod_{};
    Backoff backoff_;
};

}  // namespace gateway::net
