#include "settings/settings_json.h"

namespace gateway {
namespace {

RequestClass readClass(const Fields& f) {
    RequestClass c;
    c.idempotency = f.choice<Idempotency>(
        "effect",
        {{"safe", Idempotency::safe}, {"keyed", Idempotency::withKey}, {"unsafe", Idempotency::none}});
    if (f.find("group") != nullptr)
        c.deduplicationScope = f.choice<DeduplicationScope>("group", {{"all", DeduplicationScope::all},
                                                                      {"zone", DeduplicationScope::zone},
                                                                      {"cell", DeduplicationScope::cell}});
    c.idempotencyWindow = f.seconds("windowS", 0);
    c.latencyObjective = f.seconds("aimS");
    c.latencyObjectiveStretch = f.number("aimStretch", 0);
    c.deadline = f.seconds("deadlineS");
    c.lateWeight = f.number("lateWorth", 0);
    c.priorityWeight = f.number("points", 1);
    c.streamed = f.flag("streamed");
    return c;
}

QuotaPlan readPlan(const Fields& f) {
    QuotaPlan p;
    p.rate = f.number("perSecond", 0);
    p.burst = f.number("depth", 0);
    p.concurrency = f.integer("concurrency", 0);
    p.ceilingRate = f.number("neverOverRate", 0);
    p.ceilingBurst = f.number("neverOverDepth", 0);
    p.ceilingSlack = f.number("tolerance", 0);
    p.price = f.number("price", 1);
    p.overQuotaWeight = f.number("overWorth", 0);
    p.overQuotaPenalty = f.number("overrunCost", 0);
    return p;
}

}  // namespace

Settings readSettings(const Fields& f) {
    Settings s;
    f.each("classes", [&](const Fields& c) { s.classes.push_back(readClass(c)); });
    if (f.find("contracts") != nullptr)
        f.each("contracts", [&](const Fields& p) { s.plans.push_back(readPlan(p)); });
    s.gatewayIndex = f.integer("me", 0);
    s.gatewayCount = f.integer("balancers");
    s.zone = f.integer("locality", 0);
    if (f.find("discovery") != nullptr)
        s.discovery = f.choice<DiscoveryMode>("discovery",
                                              {{"push", DiscoveryMode::push}, {"ask", DiscoveryMode::poll}});
    if (f.find("report") != nullptr)
        s.loadReportSource = f.object("report").choice<LoadReportSource>(
            "how", {{"inline", LoadReportSource::inResponses},
                    {"on_probe", LoadReportSource::inHealthChecks},
                    {"off", LoadReportSource::none}});
    s.endpointWeightsEnabled = f.find("weights") != nullptr && f.text("weights") != "off";

    const Fields allowed = f.object("allowed");
    s.cancellationAllowed = allowed.flag("cancel");
    s.healthChecksAllowed = allowed.flag("probes");
    s.parallelAttemptsAllowed = allowed.flag("parallelTries");
    s.retryAfterAllowed = allowed.flag("retryAfter");
    s.maxAttempts = allowed.integer("maxAttempts", 1);
    s.maxRetryAfter = allowed.seconds("maxRetryAfterS", 0);
    s.connectTimeout = allowed.seconds("dialTimeoutS", 0);

    if (f.find("domain") != nullptr) {
        const Fields domain = f.object("domain");
        s.counterEnabled = domain.flag("mayCount");
        s.counterTimeout = domain.seconds("counterTimeoutS", 0);
        s.maxRequestCost = domain.number("maxUnits", 1);
        s.reconciliationEnabled = domain.flag("postPaid");
        s.usageMeterPeriod = domain.seconds("meteringS", 0);
    }
    const Fields rules = f.object("rules");
    s.responseSlack = rules.seconds("answerSlackS", 0);
    s.drainGracePeriod = rules.seconds("drainGraceS", 0);
    s.maxPollInterval = rules.seconds("mustAskInS", 0);
    s.slowStartInitialShare = rules.number("coldFrom", 1);
    s.slowStartDuration = rules.seconds("warmWithinS", 0);
    s.overloadMultiple = rules.number("fallMultiple", 1);
    s.overloadWindow = rules.seconds("tipAfterS", 0);
    if (f.find("penalties") != nullptr) s.crossZonePenalty = f.object("penalties").number("crossZone", 0);
    return s;
}

}  // namespace gateway
