#include "settings/settings_json.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace gateway {
namespace {

RequestClass readRequestClass(const Fields& fields) {
    RequestClass requestClass;
    requestClass.idempotency = fields.choice<Idempotency>(
        "effect",
        {{"safe", Idempotency::safe}, {"keyed", Idempotency::withKey}, {"unsafe", Idempotency::none}});
    if (fields.has("group"))
        requestClass.deduplicationScope =
            fields.choice<DeduplicationScope>("group", {{"all", DeduplicationScope::all},
                                                        {"zone", DeduplicationScope::zone},
                                                        {"cell", DeduplicationScope::cell}});
    requestClass.idempotencyWindow = fields.seconds("windowS", 0);
    requestClass.latencyObjective = fields.seconds("aimS");
    requestClass.latencyObjectiveStretch = fields.number("aimStretch", 0);
    requestClass.deadline = fields.seconds("deadlineS");
    requestClass.lateWeight = fields.number("lateWorth", 0);
    requestClass.priorityWeight = fields.number("points", 1);
    requestClass.streamed = fields.flag("streamed");
    return requestClass;
}

QuotaPlan readPlan(const Fields& fields) {
    QuotaPlan plan;
    plan.rate = fields.number("perSecond", 0);
    plan.burst = fields.number("depth", 0);
    plan.concurrency = fields.integer("concurrency", 0);
    plan.ceilingRate = fields.number("neverOverRate", 0);
    plan.ceilingBurst = fields.number("neverOverDepth", 0);
    plan.ceilingSlack = fields.number("tolerance", 0);
    plan.price = fields.number("price", 1);
    plan.overQuotaWeight = fields.number("overWorth", 0);
    plan.overQuotaPenalty = fields.number("overrunCost", 0);
    return plan;
}

// Reads which features the gateway may use, and their limits.
void readAllowed(const Fields& allowed, Settings& settings) {
    settings.cancellationAllowed = allowed.flag("cancel");
    settings.healthChecksAllowed = allowed.flag("probes");
    settings.parallelAttemptsAllowed = allowed.flag("parallelTries");
    settings.retryAfterAllowed = allowed.flag("retryAfter");
    settings.maxAttempts = allowed.integer("maxAttempts", 1);
    settings.maxRetryAfter = allowed.seconds("maxRetryAfterS", 0);
    settings.connectTimeout = allowed.seconds("dialTimeoutS", 0);
}

// Reads the settings of the counter service and of the cost and usage reports in responses.
void readDomain(const Fields& domain, Settings& settings) {
    settings.counterEnabled = domain.flag("mayCount");
    settings.counterTimeout = domain.seconds("counterTimeoutS", 0);
    settings.maxRequestCost = domain.number("maxUnits", 1);
    settings.reconciliationEnabled = domain.flag("postPaid");
    settings.usageMeterPeriod = domain.seconds("meteringS", 0);
}

// Reads time limits and the parameters of slow start, overload and draining of endpoints.
void readRules(const Fields& rules, Settings& settings) {
    settings.responseSlack = rules.seconds("answerSlackS", 0);
    settings.drainGracePeriod = rules.seconds("drainGraceS", 0);
    settings.maxPollInterval = rules.seconds("mustAskInS", 0);
    settings.slowStartInitialShare = rules.number("coldFrom", 1);
    settings.slowStartDuration = rules.seconds("warmWithinS", 0);
    settings.overloadMultiple = rules.number("fallMultiple", 1);
    settings.overloadWindow = rules.seconds("tipAfterS", 0);
}

LoadReportSource readLoadReportSource(const Fields& fields) {
    if (!fields.has("report")) return LoadReportSource::none;
    return fields.object("report").choice<LoadReportSource>("how",
                                                            {{"inline", LoadReportSource::inResponses},
                                                             {"on_probe", LoadReportSource::inHealthChecks},
                                                             {"off", LoadReportSource::none}});
}

DiscoveryMode readDiscoveryMode(const Fields& fields) {
    if (!fields.has("discovery")) return DiscoveryMode::push;
    return fields.choice<DiscoveryMode>("discovery",
                                        {{"push", DiscoveryMode::push}, {"ask", DiscoveryMode::poll}});
}

// A field of Settings, and its key in the JSON settings.
struct FieldKey {
    std::string_view field;
    std::string_view key;
};

// The fields that validate() reports, as far as they differ from their keys.
constexpr std::array kFieldKeys{
    FieldKey{"gatewayCount", "balancers"},
    FieldKey{"gatewayIndex", "me"},
    FieldKey{"maxAttempts", "allowed.maxAttempts"},
    FieldKey{"maxRequestCost", "domain.maxUnits"},
    FieldKey{"counterTimeout", "domain.counterTimeoutS"},
    FieldKey{"drainGracePeriod", "rules.drainGraceS"},
    FieldKey{"slowStartInitialShare", "rules.coldFrom"},
    FieldKey{"slowStartDuration", "rules.warmWithinS"},
    FieldKey{"overloadMultiple", "rules.fallMultiple"},
    FieldKey{"overloadWindow", "rules.tipAfterS"},
    FieldKey{"latencyObjective", "aimS"},
    FieldKey{"latencyObjectiveStretch", "aimStretch"},
    FieldKey{"deadline", "deadlineS"},
    FieldKey{"idempotencyWindow", "windowS"},
    FieldKey{"plans", "contracts"},
    FieldKey{"rate", "perSecond"},
    FieldKey{"burst", "depth"},
    FieldKey{"ceilingRate", "neverOverRate"},
    FieldKey{"ceilingBurst", "neverOverDepth"},
    FieldKey{"ceilingSlack", "tolerance"},
};

// Returns the path of a field's key in the settings, for example "contracts[0].perSecond" for
// "plans[0].rate".
std::string toKeyPath(const std::string& field) {
    std::string path;
    for (std::size_t begin = 0; begin < field.size();) {
        const std::size_t end = std::min(field.find_first_of(".[]", begin), field.size());
        const std::string_view name = std::string_view(field).substr(begin, end - begin);
        const auto found = std::find_if(kFieldKeys.begin(), kFieldKeys.end(),
                                        [&](const FieldKey& entry) { return entry.field == name; });
        path += found == kFieldKeys.end() ? name : found->key;
        if (end < field.size()) path += field[end];
        begin = end + 1;
    }
    return path;
}

}  // namespace

Settings readSettings(const Fields& fields) {
    Settings settings;
    fields.forEach("classes",
                   [&](const Fields& item) { settings.classes.push_back(readRequestClass(item)); });
    if (fields.has("contracts"))
        fields.forEach("contracts", [&](const Fields& item) { settings.plans.push_back(readPlan(item)); });
    settings.gatewayIndex = fields.integer("me", 0);
    settings.gatewayCount = fields.integer("balancers");
    settings.zone = ZoneId{fields.integer("locality", 0)};
    settings.discovery = readDiscoveryMode(fields);
    settings.loadReportSource = readLoadReportSource(fields);
    settings.endpointWeightsEnabled = fields.has("weights") && fields.text("weights") != "off";
    readAllowed(fields.object("allowed"), settings);
    if (fields.has("domain")) readDomain(fields.object("domain"), settings);
    readRules(fields.object("rules"), settings);
    if (fields.has("penalties"))
        settings.crossZonePenalty = fields.object("penalties").number("crossZone", 0);
    if (const auto problem = validate(settings))
        fields.throwError(toKeyPath(problem->field), problem->reason);
    return settings;
}

}  // namespace gateway
