// What of a request goes to an endpoint, and what becomes of it there.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "gateway/events.h"

namespace gateway::net {

// Forwarded as the client sent it.
struct ForwardedRequest {
    std::string method;
    std::string target;
    std::string host;
    std::string id;
    std::string idempotencyKey;  // empty: none
    std::string body;
};

struct AttemptResult {
    Outcome outcome = Outcome::reset;
    Duration elapsed{};
    std::optional<LoadReport> report;
    std::optional<double> meteredPercent;  // the tenant's use, where the endpoint reported it
    std::optional<double> trueCost;        // of a 200: what the request cost in the end
    std::string contentType;               // of a 200
    std::string body;                      // of a 200
};

// An attempt that never began.
inline AttemptResult notSentResult() {
    AttemptResult result;
    result.outcome = Outcome::notSent;
    return result;
}

}  // namespace gateway::net
