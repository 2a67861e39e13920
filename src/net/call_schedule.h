// When discovery is called, and called again. Arithmetic alone: no sockets, no timers, no clock.
#pragma once

#include <algorithm>
#include <cstdint>

#include "net/backoff.h"
#include "net/clock.h"

namespace weldstall {

// What discovery has to tell counts 6 s after it had it and could be reached, 6 s after a watch's last word
// and 4 s after SIGHUP, whatever became of the calls before. A call that finds it well gets `kMostCall` of
// that.
constexpr Duration kListTerm = std::chrono::seconds(6), kReloadTerm = std::chrono::seconds(4);
constexpr Duration kMostCall = std::chrono::milliseconds(1500);
constexpr Duration kMostCallAfterSilence = std::chrono::milliseconds(1200);  // its time is shorter
// A live watch says something every 2 s; so long after its last word it is taken for broken.
constexpr Duration kMostSilent = std::chrono::milliseconds(2300);
constexpr Duration kMostDialling = std::chrono::seconds(1);  // for an agent on the own machine to take a call

// The moments t with t mod period == period * self / gatekeepers, on the clock that all gatekeepers share:
// `n` of them call n / period times a second, evenly, without a word between them. Drawn moments would have
// peaks.
class Slots {
public:
    Slots(int self, int gatekeepers)
        : self_(std::clamp(self, 0, std::max(gatekeepers, 1) - 1)), gatekeepers_(std::max(gatekeepers, 1)) {}

    // The first own moment after `now`: more than 0 and at most `period` away.
    Duration until(Time now, Duration period) const {
        const Duration own = period * self_ / gatekeepers_;
        const Duration past = (now - own) % period;
        return past < Duration::zero() ? -past : period - past;
    }

private:
    int self_, gatekeepers_;
};

// Each answer is how long from `now` the next call has to wait, if nothing else happens before.
class CallSchedule {
public:
    // An agent on the own machine, at no cost to others: what it gets counts at once.
    static CallSchedule pushed(std::uint64_t seed) {
        return CallSchedule(Slots(0, 1), Duration::zero(), seed);
    }
    // One service with a queue for all gatekeepers. `mustAsk`: the longest that it may go unasked; 0: not
    // told.
    static CallSchedule asked(int self, int gatekeepers, Duration mustAsk, std::uint64_t seed) {
        constexpr Duration usual = kListTerm - kMostCall;
        const Duration most = mustAsk > Duration::zero() ? std::max(mustAsk, kLeastPeriod) : usual;
        return CallSchedule(Slots(self, gatekeepers), std::min(usual, most), seed);
    }

    // Counted from a call's own beginning, not from when it is given up.
    Duration afterBegin(Time now) const { return asks() ? slot(now, usual_) : kMostDialling; }
    // The connection is up and the request written.
    Duration afterRequest(Time now) const { return asks() ? slot(now, usual_) : kMostSilent; }
    // Refused, turned away, broken, or answered with what can't be read.
    Duration afterEnd(Time now) {
        if (!asks()) return backoff_.next();
        return slot(now, now < urgentUntil_ ? urgentPeriod_ : usual_);
    }
    // 2.3 s of its term have passed since its last word.
    Duration afterSilence(Time now) {
        return asks() ? urgent(now, kListTerm - kMostSilent, kSilentPeriod) : Duration::zero();
    }
    Duration afterReload(Time now) {
        backoff_.reset();
        return asks() ? urgent(now, kReloadTerm, kReloadPeriod) : Duration::zero();
    }
    // There was no descriptor for it: discovery has seen nothing of that call.
    Duration afterShortage() { return backoff_.next(); }
    // A list was told.
    void answered() {
        backoff_.reset();
        urgentUntil_ = Time::min();
    }

private:
    static constexpr Duration kLeastPeriod = std::chrono::seconds(1);
    static constexpr Duration kSilentPeriod = kListTerm - kMostSilent - kMostCallAfterSilence;
    static constexpr Duration kReloadPeriod = std::chrono::milliseconds(1500);
    static constexpr Duration kBackoffFirst = std::chrono::milliseconds(50);
    static constexpr Duration kBackoffMost = std::chrono::milliseconds(200);

    CallSchedule(const Slots& slots, Duration usual, std::uint64_t seed)
        : slots_(slots), usual_(usual), backoff_(kBackoffFirst, kBackoffMost, seed) {}
    bool asks() const { return usual_ > Duration::zero(); }
    // Also one that is turned away comes again so soon while the term lasts.
    Duration urgent(Time now, Duration term, Duration period) {
        urgentUntil_ = now + term;
        urgentPeriod_ = period;
        return slot(now, period);
    }
    Duration slot(Time now, Duration period) const { return slots_.until(now, std::min(period, usual_)); }

    Slots slots_;
    Duration usual_;  // 0: pushed
    Time urgentUntil_ = Time::min();
    Duration urgentPeriod_{};
    Backoff backoff_;
};

}  // namespace weldstall
