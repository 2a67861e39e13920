// A request in flight and its attempts.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "decision/engine/request_key.h"
#include "decision/quota/quota_charge.h"
#include "gateway/events.h"

namespace gateway {

// Whether the outcome proves that the endpoint did not execute the request.
bool provesNeverRan(Outcome outcome);

// One forwarding of a request to an endpoint.
struct Attempt {
    std::size_t endpointSlot = 0;  // in the endpoint set
    TimePoint sentAt{};
    bool ended = false;
};

// The earliest attempt that may have been executed. A retry must reach an endpoint that recognizes it as a
// repeat of this attempt.
struct PossibleRun {
    ZoneId zone{};
    CellId cell{};
    TimePoint since{};  // when the attempt was sent
};

// Invariants: attempts are numbered in the order in which they were sent; a request that is closed gets no
// further attempt and no second final answer.
struct Request {
    RequestKey key = RequestKey::none;
    RequestArrived arrival;
    TimePoint arrivedAt{};
    QuotaCharge charge;
    std::vector<Attempt> attempts;
    std::optional<PossibleRun> possibleRun;
    bool decided = false;          // the quota admitted or rejected it, or its client disconnected before
    bool closed = false;           // it has its final answer, or its client disconnected
    bool streaming = false;        // its response has begun
    bool reachedEndpoint = false;  // its cost is due; under a ceiling, from the first attempt that was sent

    // Whether an attempt has not ended yet.
    bool hasAttemptInFlight() const;
};

}  // namespace gateway
