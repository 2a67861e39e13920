// What a decision engine is configured with. Read from JSON by src/settings/settings_json.h.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "gateway/types.h"

namespace gateway {

// What may happen to a request whose earlier attempt may have run.
enum class Idempotency {
    safe,     // it may be repeated at will
    withKey,  // endpoints drop repeats that carry the same key, within RequestClass::idempotencyWindow
    none,     // it must not be repeated
};

// Which endpoints drop each other's repeats of a request with a key.
enum class DeduplicationScope { all, zone, cell };

// The terms under which requests of one class are served.
struct RequestClass {
    Idempotency idempotency = Idempotency::safe;
    DeduplicationScope deduplicationScope = DeduplicationScope::all;  // for Idempotency::withKey
    Duration idempotencyWindow{};  // withKey: from the sending of the earliest attempt that may have run
    Duration latencyObjective{};   // a response by then earns its full weight; above 0
    double latencyObjectiveStretch = 0;  // the objective grows by this multiple of the request's own work
    Duration deadline{};                 // what a client waits at most, over all its tries; above 0
    double lateWeight = 0;               // share of the weight left between the objective and the deadline
    double priorityWeight = 1;           // what a response is worth
    bool streamed = false;               // the response comes as a stream
};

// A quota that tenants hold, and the hard ceiling above it. Costs are in the plan's cost unit.
struct QuotaPlan {
    double rate = 0;         // cost per second; 0: no such quota
    double burst = 0;        // cost that may be used at once
    int concurrency = 0;     // attempts in flight over all gateways; 0: no such limit
    double ceilingRate = 0;  // cost per second that must never be passed; 0: no ceiling
    double ceilingBurst = 0;
    double ceilingSlack = 0;      // cost by which the ceiling's bucket may fall below zero
    double price = 1;             // factor on the weight of a request, for each unit of cost
    double overQuotaWeight = 0;   // share of its weight that a request earns beyond the quota
    double overQuotaPenalty = 0;  // share of its weight that a request sent on beyond the quota costs
};

// How changes of the endpoint set arrive.
enum class DiscoveryMode {
    push,  // an agent on the same machine pushes them
    poll,  // a shared service is polled
};

// Where endpoints report their load.
enum class LoadReportSource { inResponses, inHealthChecks, none };

struct Settings {
    const RequestClass& requestClass(RequestClassIndex index) const { return classes[toPosition(index)]; }
    const QuotaPlan& plan(QuotaPlanIndex index) const { return plans[toPosition(index)]; }

    std::vector<RequestClass> classes;  // at least one
    std::vector<QuotaPlan> plans;       // empty: no tenant has a quota
    int gatewayIndex = 0;               // this gateway's, from 0 up to gatewayCount
    int gatewayCount = 1;
    ZoneId zone{};  // where this gateway runs
    DiscoveryMode discovery = DiscoveryMode::push;
    LoadReportSource loadReportSource = LoadReportSource::none;
    bool endpointWeightsEnabled = false;  // false: every endpoint's weight reads 1

    bool cancellationAllowed = false;
    bool healthChecksAllowed = false;
    bool parallelAttemptsAllowed = false;  // a request may have two attempts in flight
    bool retryAfterAllowed = false;        // a rejection may tell when to come back
    int maxAttempts = 1;                   // for each request
    Duration maxRetryAfter{};
    Duration connectTimeout{};

    bool counterEnabled = false;  // the counter service may be called
    Duration counterTimeout{};
    double maxRequestCost = 1;
    bool reconciliationEnabled = false;  // a request's cost is an estimate; its response reports the true one
    Duration usageMeterPeriod{};         // of the meter that responses carry; 0: there is no meter

    Duration responseSlack{};          // for a final answer, past the client's deadline
    Duration drainGracePeriod{};       // during which a draining endpoint may still be sent attempts
    Duration maxPollInterval{};        // DiscoveryMode::poll: changes count as known after this long
    double slowStartInitialShare = 1;  // share of its capacity that an endpoint starts with, from 0 to 1
    Duration slowStartDuration{};      // until it has its full capacity; 0: from the start
    double overloadMultiple = 1;       // an endpoint that is warming up fails when it is sent more than this
    Duration overloadWindow{};         // multiple of its capacity for this long
    double crossZonePenalty = 0;       // price of one attempt a request that crosses zones
};

// What makes settings unusable.
struct SettingsProblem {
    std::string field;   // for example "plans[0].rate"
    std::string reason;  // for example "must not be negative"
};

// Returns the first problem of the settings, or nothing where they can be served.
std::optional<SettingsProblem> validate(const Settings& settings);

// Settings that can't be served.
class SettingsError : public std::invalid_argument {
public:
    explicit SettingsError(SettingsProblem problem)
        : std::invalid_argument(problem.field + ": " + problem.reason), problem_(std::move(problem)) {}

    const SettingsProblem& problem() const { return problem_; }

private:
    SettingsProblem problem_;
};

}  // namespace gateway
