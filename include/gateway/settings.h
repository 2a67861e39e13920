// The settings of a decision engine. src/settings/settings_json.h reads them from JSON.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "gateway/types.h"

namespace gateway {

// Whether a request may be sent again although an earlier attempt may have run.
enum class Idempotency {
    safe,     // always
    withKey,  // within RequestClass::idempotencyWindow: endpoints recognize repeats with the same key
    none,     // never
};

// Which endpoints recognize each other's repeats of a request with a key.
enum class DeduplicationScope { all, zone, cell };

// The terms under which requests of one class are served.
struct RequestClass {
    Idempotency idempotency = Idempotency::safe;
    DeduplicationScope deduplicationScope = DeduplicationScope::all;  // for Idempotency::withKey
    Duration idempotencyWindow{};  // withKey: from the sending of the earliest attempt that may have run
    Duration latencyObjective{};   // a response within it has its full weight; above 0
    double latencyObjectiveStretch = 0;  // the objective grows by this multiple of the class's mean work
    Duration deadline{};                 // longest wait of a client over all its tries; above 0
    double lateWeight = 0;      // share of the weight that a response has between objective and deadline
    double priorityWeight = 1;  // value of a response
    bool streamed = false;      // the response is sent as a stream
};

// A quota that tenants hold, and the hard ceiling above it. Costs are in the plan's cost unit.
struct QuotaPlan {
    double rate = 0;         // cost per second; 0: no quota
    double burst = 0;        // cost that may be used at once
    int concurrency = 0;     // attempts in flight over all gateways; 0: not limited
    double ceilingRate = 0;  // cost per second that must never be exceeded; 0: no ceiling
    double ceilingBurst = 0;
    double ceilingSlack = 0;      // cost by which the ceiling's bucket may fall below zero
    double price = 1;             // factor on the weight of a request, for each unit of cost
    double overQuotaWeight = 0;   // share of its weight that a request beyond the quota earns
    double overQuotaPenalty = 0;  // share of its weight that a request forwarded beyond the quota costs
};

// How changes of the endpoint set arrive.
enum class DiscoveryMode {
    push,  // from an agent on the same machine
    poll,  // from a shared service that is polled
};

// Where endpoints report their load.
enum class LoadReportSource { inResponses, inHealthChecks, none };

// What all gateways of a fleet share, but for gatewayIndex and zone.
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
    int maxAttempts = 1;                   // of each request
    Duration maxRetryAfter{};
    Duration connectTimeout{};  // 0: the attempt's timeout

    bool counterEnabled = false;  // the counter service may be called
    Duration counterTimeout{};
    double maxRequestCost = 1;
    bool reconciliationEnabled = false;  // costs are estimates; responses report the actual ones
    Duration usageMeterPeriod{};         // of the usage meter in responses; 0: there is no meter

    Duration responseSlack{};          // of a final answer, past the client's deadline
    Duration drainGracePeriod{};       // in which a draining endpoint may still receive attempts
    Duration maxPollInterval{};        // DiscoveryMode::poll: changes count as known after this time
    double slowStartInitialShare = 1;  // share of its capacity that an endpoint starts with, from 0 to 1
    Duration slowStartDuration{};      // time until it has its full capacity; 0: none
    double overloadMultiple = 1;       // an endpoint that is warming up fails under more than this multiple
    Duration overloadWindow{};         // of its capacity for this long
    double crossZonePenalty = 0;       // price of one attempt per request that crosses zones
};

// Why settings can't be used.
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
