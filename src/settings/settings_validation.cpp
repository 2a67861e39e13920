// Checks that settings make sense; decides nothing.
#include "gateway/settings.h"

namespace gateway {

std::optional<std::string> findSettingsProblem(const Settings& s) {
    const auto at = [](const char* list, std::size_t i, const char* field) {
        return std::string(list).append("[").append(std::to_string(i)).append("].").append(field);
    };
    if (s.classes.empty()) return "classes: at least one is needed";
    if (s.gatewayCount < 1) return "gatekeepers: must be 1 or more";
    if (s.gatewayIndex < 0 || s.gatewayIndex >= s.gatewayCount)
        return "self: must be from 0 to gatekeepers - 1";
    if (s.maxAttempts < 1) return "maxAttempts: must be 1 or more";
    if (s.maxRequestCost < 0) return "maxUnits: must not be negative";
    if (s.counterTimeout < Duration::zero()) return "countTimeout: must not be negative";
    if (s.drainGracePeriod < Duration::zero()) return "drainGrace: must not be negative";
    if (s.slowStartInitialShare < 0 || s.slowStartInitialShare > 1) return "coldFrom: must be from 0 to 1";
    if (s.slowStartDuration < Duration::zero()) return "warmWithin: must not be negative";
    if (s.overloadMultiple < 0) return "tipMultiple: must not be negative";
    if (s.overloadWindow < Duration::zero()) return "tipAfter: must not be negative";
    for (std::size_t i = 0; i < s.classes.size(); ++i) {
        const RequestClass& c = s.classes[i];
        if (c.latencyObjective <= Duration::zero()) return at("classes", i, "aim") + ": must be above 0";
        if (c.deadline <= Duration::zero()) return at("classes", i, "deadline") + ": must be above 0";
        if (c.idempotencyWindow < Duration::zero())
            return at("classes", i, "repeatWindow") + ": must not be negative";
        if (c.latencyObjectiveStretch < 0) return at("classes", i, "aimStretch") + ": must not be negative";
    }
    for (std::size_t i = 0; i < s.plans.size(); ++i) {
        const QuotaPlan& p = s.plans[i];
        if (p.rate < 0) return at("plans", i, "rate") + ": must not be negative";
        if (p.burst < 0) return at("plans", i, "burst") + ": must not be negative";
        if (p.concurrency < 0) return at("plans", i, "concurrency") + ": must not be negative";
        if (p.ceilingRate < 0) return at("plans", i, "ceilingRate") + ": must not be negative";
        if (p.ceilingBurst < 0) return at("plans", i, "ceilingBurst") + ": must not be negative";
        if (p.ceilingSlack < 0) return at("plans", i, "ceilingSlack") + ": must not be negative";
    }
    return std::nullopt;
}

}  // namespace gateway
