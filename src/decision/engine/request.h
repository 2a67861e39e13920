// A request in flight and its attempts. State alone; nothing is decided here.
#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>
#include <vector>

#include "decision/engine/request_key.h"
#include "decision/quota/quota_charge.h"
#include "gateway/events.h"

namespace gateway {

// What an attempt's end says for certain, by the protocol.
inline bool provesNeverRan(Outcome outcome) {
    return outcome == Outcome::rejected || outcome == Outcome::connectFailed || outcome == Outcome::notSent;
}

struct Attempt {
    std::size_t endpointSlot = 0;
    TimePoint sentAt{};
    bool ended = false;
};

// The first attempt that may have run: a repeat must reach an endpoint that drops it.
struct PossibleRun {
    ZoneId zone{};
    CellId cell{};
    TimePoint since{};
};

struct Request {
    RequestKey key = RequestKey::none;
    RequestArrived arrival;
    TimePoint arrivedAt{};
    QuotaCharge charge;
    std::vector<Attempt> attempts;
    std::optional<PossibleRun> possibleRun;
    bool decided = false;          // admitted or rejected
    bool closed = false;           // it has its final answer, or its client left
    bool streaming = false;        // its response has begun
    bool reachedEndpoint = false;  // or its plan's ceiling counts it as if

    bool mayHaveRun() const { return possibleRun.has_value(); }
    bool hasAttemptInFlight() const {
        return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return !a.ended; });
    }
};

}  // namespace gateway
