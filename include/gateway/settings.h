// The settings of a decision engine. src/settings/settings_json.h reads them from JSON.
#pragma once

#include <cstddef>
#include <limits>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "gateway/types.h"

namespace gateway {

// Whether a request may be sent again although an earlier attempt may have been executed.
enum class Idempotency {
    safe,     // always
    withKey,  // within RequestClass::idempotencyWindow: endpoints recognize repeats with the same key
    none,     // never
};

// Which endpoints recognize a repeat of a request by its key when another of them received the request first.
enum class DeduplicationScope { all, zone, cell };

// The terms under which requests of one class are served. A response within the latency objective has the
// full value of its request: priorityWeight times QuotaPlan::price times the request's cost.
struct RequestClass {
    Idempotency idempotency = Idempotency::safe;
    DeduplicationScope deduplicationScope = DeduplicationScope::all;  // for Idempotency::withKey
    // For Idempotency::withKey: from the sending of the earliest attempt that may have been executed.
    Duration idempotencyWindow{};
    Duration latencyObjective{};         // a response within it has the full value; above 0
    double latencyObjectiveStretch = 0;  // multiple of the class's mean response time added to the objective
    Duration deadline{};        // longest wait of a client, including the client's own retries; above 0
    double lateWeight = 0;      // share of the full value that a response between objective and deadline has
    double priorityWeight = 1;  // factor of the full value; not used by the engine
    bool streamed = false;      // responses are sent as streams
};

// The quota of the tenants with this plan, and a hard ceiling above it. Costs are in the plan's cost unit.
struct QuotaPlan {
    double rate = 0;         // cost per second; 0: no quota
    double burst = 0;        // cost that may be used at once
    int concurrency = 0;     // attempts in flight over all gateways; 0: not limited
    double ceilingRate = 0;  // cost per second that must never be exceeded; 0: no ceiling
    double ceilingBurst = 0;
    double ceilingSlack = 0;      // cost by which the ceiling may be exceeded; not used by the engine
    double price = 1;             // factor of the full value of a response, per unit of the request's cost
    double overQuotaWeight = 0;   // share of the full value that a response beyond the quota has
    double overQuotaPenalty = 0;  // share of the full value deducted for forwarding beyond the quota
};

// How the gateway learns about changes of the endpoint set.
enum class DiscoveryMode {
    push,  // from an agent on the same machine
    poll,  // from a shared service that is polled
};

// Where endpoints report their load.
enum class LoadReportSource { inResponses, inHealthChecks, none };

// The settings of one gateway. All gateways of a fleet have the same ones, except gatewayIndex and zone.
struct Settings {
    // Precondition of both: the index is in range.
    const RequestClass& requestClass(RequestClassIndex index) const { return classes[toPosition(index)]; }
    const QuotaPlan& plan(QuotaPlanIndex index) const { return plans[toPosition(index)]; }

    std::vector<RequestClass> classes;  // at least one
    std::vector<QuotaPlan> plans;       // empty: no tenant has a quota
    int gatewayIndex = 0;               // of this gateway, from 0 to gatewayCount - 1
    int gatewayCount = 1;
    ZoneId zone{};  // of this gateway
    DiscoveryMode discovery = DiscoveryMode::push;
    LoadReportSource loadReportSource = LoadReportSource::none;
    bool endpointWeightsEnabled = false;  // false: every endpoint's weight is 1

    bool cancellationAllowed = false;
    bool healthChecksAllowed = false;
    bool parallelAttemptsAllowed = false;  // a request may have two attempts in flight
    bool retryAfterAllowed = false;        // rejections may carry a Retry-After
    int maxAttempts = 1;                   // for each request
    Duration maxRetryAfter{};
    Duration connectTimeout{};  // 0: only the attempt's timeout applies

    bool counterEnabled = false;  // the counter service may be called
    Duration counterTimeout{};
    double maxRequestCost = 1;
    bool reconciliationEnabled = false;  // costs are estimates; responses report the actual ones
    // Period of the usage meter in responses (AttemptEnded::quotaUsagePercent); 0: responses have no meter.
    Duration usageMeterPeriod{};

    Duration responseSlack{};          // time past the client's deadline in which a final answer still counts
    Duration drainGracePeriod{};       // during which a draining endpoint may still receive attempts
    Duration maxPollInterval{};        // DiscoveryMode::poll: longest time between two polls
    double slowStartInitialShare = 1;  // share of its capacity that an endpoint has at its start, from 0 to 1
    Duration slowStartDuration{};      // time until it has its full capacity; 0: no slow start
    double overloadMultiple = 1;  // multiple of its capacity above which an endpoint fails while warming up
    Duration overloadWindow{};    // duration of the excess after which it fails
    std::size_t maxTenants = std::numeric_limits<std::size_t>::max();  // whose state is kept
    // Requests that must not be repeated and may have been executed, whose ids are remembered.
    std::size_t maxExecutedRequests = 16384;
    double crossZonePenalty = 0;  // once per request with an attempt in another zone; not used by the engine
};

// A reason why settings can't be used.
struct SettingsProblem {
    std::string field;   // for example "plans[0].rate"
    std::string reason;  // for example "must not be negative"
};

// Returns the first problem of the settings, or nothing if they can be used.
std::optional<SettingsProblem> validate(const Settings& settings);

// Thrown for settings that can't be used.
class SettingsError : public std::invalid_argument {
public:
    explicit SettingsError(SettingsProblem problem)
        : std::invalid_argument(problem.field + ": " + problem.reason), problem_(std::move(problem)) {}

    const SettingsProblem& problem() const { return problem_; }

private:
    SettingsProblem problem_;
};

}  // namespace gateway
