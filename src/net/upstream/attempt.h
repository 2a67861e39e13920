// The parts of a request that are sent to an endpoint, and the result of one attempt to do so.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "gateway/events.h"
#include "net/transport/memory_budget.h"

namespace gateway::net {

// Identifies an attempt among the attempts of all requests. Ids are not reused.
enum class AttemptId : std::uint64_t { none = 0 };

// The parts of a client's request that are forwarded, unchanged.
struct ForwardedRequest {
    // Returns the approximate memory of the request.
    std::size_t sizeInMemory() const {
        return target.capacity() + host.capacity() + id.capacity() + idempotencyKey.capacity() +
               body.capacity();
    }

    std::string method;
    std::string target;
    std::string host;
    std::string id;
    std::string idempotencyKey;  // empty if the request has none
    std::string body;
    MemoryCharge memory;  // of this request; outlives the client's session while an attempt is in flight
};

// The result of an attempt. Optional values are absent if the endpoint did not report them.
struct AttemptResult {
    Outcome outcome = Outcome::reset;
    Duration elapsed{};  // from the start of the attempt
    std::optional<LoadReport> loadReport;
    std::optional<double> quotaUsagePercent;  // of the tenant's quota, over all gateways
    std::optional<double> actualCost;         // of the request; with Outcome::ok only
    std::string contentType;                  // with Outcome::ok only
    std::string body;                         // with Outcome::ok only
};

// Returns the result of an attempt that was not sent.
inline AttemptResult notSentResult() {
    AttemptResult result;
    result.outcome = Outcome::notSent;
    return result;
}

}  // namespace gateway::net
