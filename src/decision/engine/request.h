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

// One transmission of a request to an endpoint.
struct Attempt {
    std::size_t endpointSlot = 0;  // in the endpoint set
    TimePoint sentAt{};
    bool ended = false;
    // Of the endpoint when the attempt was sent. A later process under the same name may have others.
    ZoneId zone{};
    CellId cell{};
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
    // The quota admitted or rejected it, the gateway answered it without a decision, or its client
    // disconnected. Forwarding a request does not set this if the settings have no quota plans.
    bool decided = false;
    bool closed = false;     // it has its final answer, or its client disconnected
    bool streaming = false;  // its response has begun
    // An attempt was sent, so that the charge is not refunded. An attempt that failed to connect counts only
    // under a plan with a ceiling.
    bool countsAsSent = false;

    bool hasAttemptInFlight() const;
};

}  // namespace gateway
