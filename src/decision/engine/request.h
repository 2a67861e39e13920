// A request in flight and its attempts.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "decision/engine/request_key.h"
#include "decision/quota/quota_charge.h"
#include "gateway/events.h"

namespace gateway {

// Whether the outcome of an attempt proves that its endpoint did not execute the request.
bool provesNotExecuted(Outcome outcome);

// One sending of a request to an endpoint.
struct Attempt {
    std::size_t endpointSlot = 0;  // in the endpoint set
    TimePoint sentAt{};
    bool ended = false;
};

// The earliest attempt that its endpoint may have executed. A retry with an idempotency key must reach an
// endpoint that recognizes it as a repeat of this attempt.
struct PossibleExecution {
    ZoneId zone{};
    CellId cell{};
    TimePoint sentAt{};
};

// Invariants: attempts are in the order in which they were sent; a closed request gets no further attempt and
// no second final answer.
struct Request {
    RequestKey key = RequestKey::none;
    RequestArrived arrival;
    TimePoint arrivedAt{};
    QuotaCharge charge;
    std::vector<Attempt> attempts;
    std::optional<PossibleExecution> possibleExecution;
    bool decided = false;          // the quota admitted or rejected it, or its client disconnected first
    bool closed = false;           // it has its final answer, or its client disconnected
    bool streaming = false;        // its response has begun
    bool reachedEndpoint = false;  // with a ceiling, also if an attempt failed to connect

    bool hasAttemptInFlight() const;
};

}  // namespace gateway
