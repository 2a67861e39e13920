// What endpoints receive of a request, and the result of one attempt to have it served.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "gateway/events.h"

namespace gateway::net {

// Identifies an attempt among those of all requests. Ids are never reused.
enum class AttemptId : std::uint64_t { none = 0 };

// The parts of a client's request that are forwarded, as the client sent them.
struct ForwardedRequest {
    std::string method;
    std::string target;
    std::string host;
    std::string id;
    std::string idempotencyKey;  // empty: the request has none
    std::string body;
};

// The result of an attempt. Values that the endpoint did not report are absent.
struct AttemptResult {
    Outcome outcome = Outcome::reset;
    Duration elapsed{};  // from the start of the attempt
    std::optional<LoadReport> loadReport;
    std::optional<double> quotaUsagePercent;  // over all gateways
    std::optional<double> actualCost;         // with Outcome::ok only
    std::string contentType;                  // with Outcome::ok only
    std::string body;                         // with Outcome::ok only
};

// The result of an attempt of which the endpoint received nothing.
inline AttemptResult notSentResult() {
    AttemptResult result;
    result.outcome = Outcome::notSent;
    return result;
}

}  // namespace gateway::net
