#include "settings/settings_json.h"

namespace gateway {
namespace {

RequestClass readClass(const Fields& fields) {
    RequestClass c;
    c.idempotency = fields.choice<Idempotency>(
        "effect",
        {{"safe", Idempotency::safe}, {"keyed", Idempotency::withKey}, {"unsafe", Idempotency::none}});
    if (fields.has("group"))
        c.deduplicationScope =
            fields.choice<DeduplicationScope>("group", {{"all", DeduplicationScope::all},
                                                        {"zone", DeduplicationScope::zone},
                                                        {"cell", DeduplicationScope::cell}});
    c.idempotencyWindow = fields.seconds("windowS", 0);
    c.latencyObjective = fields.seconds("aimS");
    c.latencyObjectiveStretch = fields.number("aimStretch", 0);
    c.deadline = fields.seconds("deadlineS");
    c.lateWeight = fields.number("lateWorth", 0);
    c.priorityWeight = fields.number("points", 1);
    c.streamed = fields.flag("streamed");
    return c;
}

QuotaPlan readPlan(const Fields& fields) {
    QuotaPlan p;
    p.rate = fields.number("perSecond", 0);
    p.burst = fields.number("depth", 0);
    p.concurrency = fields.integer("concurrency", 0);
    p.ceilingRate = fields.number("neverOverRate", 0);
    p.ceilingBurst = fields.number("neverOverDepth", 0);
    p.ceilingSlack = fields.number("tolerance", 0);
    p.price = fields.number("price", 1);
    p.overQuotaWeight = fields.number("overWorth", 0);
    p.overQuotaPenalty = fields.number("overrunCost", 0);
    return p;
}

}  // namespace

Settings readSettings(const Fields& fields) {
    Settings s;
    fields.each("classes", [&](const Fields& c) { s.classes.push_back(readClass(c)); });
    if (fields.has("contracts"))
        fields.each("contracts", [&](const Fields& p) { s.plans.push_back(readPlan(p)); });
    s.gatewayIndex = fields.integer("me", 0);
    s.gatewayCount = fields.integer("balancers");
    s.zone = fields.integer("locality", 0);
    if (fields.has("discovery"))
        s.discovery = fields.choice<DiscoveryMode>(
            "discovery", {{"push", DiscoveryMode::push}, {"ask", DiscoveryMode::poll}});
    if (fields.has("report"))
        s.loadReportSource = fields.object("report").choice<LoadReportSource>(
            "how", {{"inline", LoadReportSource::inResponses},
                    {"on_probe", LoadReportSource::inHealthChecks},
                    {"off", LoadReportSource::none}});
    s.endpointWeightsEnabled = fields.has("weights") && fields.text("weights") != "off";

    const Fields allowed = fields.object("allowed");
    s.cancellationAllowed = allowed.flag("cancel");
    s.healthChecksAllowed = allowed.flag("probes");
    s.parallelAttemptsAllowed = allowed.flag("parallelTries");
    s.retryAfterAllowed = allowed.flag("retryAfter");
    s.maxAttempts = allowed.integer("maxAttempts", 1);
    s.maxRetryAfter = allowed.seconds("maxRetryAfterS", 0);
    s.connectTimeout = allowed.seconds("dialTimeoutS", 0);

    if (fields.has("domain")) {
        const Fields domain = fields.object("domain");
        s.counterEnabled = domain.flag("mayCount");
        s.counterTimeout = domain.seconds("counterTimeoutS", 0);
        s.maxRequestCost = domain.number("maxUnits", 1);
        s.reconciliationEnabled = domain.flag("postPaid");
        s.usageMeterPeriod = domain.seconds("meteringS", 0);
    }
    const Fields rules = fields.object("rules");
    s.responseSlack = rules.seconds("answerSlackS", 0);
    s.drainGracePeriod = rules.seconds("drainGraceS", 0);
    s.maxPollInterval = rules.seconds("mustAskInS", 0);
    s.slowStartInitialShare = rules.number("coldFrom", 1);
    s.slowStartDuration = rules.seconds("warmWithinS", 0);
    s.overloadMultiple = rules.number("fallMultiple", 1);
    s.overloadWindow = rules.seconds("tipAfterS", 0);
    if (fields.has("penalties")) s.crossZonePenalty = fields.object("penalties").number("crossZone", 0);
    if (const auto problem = validate(s)) fields.complain(problem->field, problem->reason);
    return s;
}

}  // namespace gateway
