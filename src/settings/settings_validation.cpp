// Checks that settings make sense; decides nothing.
#include <string>
#include <string_view>
#include <utility>

#include "gateway/settings.h"

namespace gateway {
namespace {

constexpr std::string_view kNegative = "must not be negative";

// Collects the first problem.
class Checker {
public:
    void require(bool holds, std::string_view field, std::string_view reason) {
        if (!holds && !problem_)
            problem_ = SettingsProblem{prefix_ + std::string(field), std::string(reason)};
    }
    void notNegative(double value, std::string_view field) { require(!(value < 0), field, kNegative); }
    void notNegative(Duration value, std::string_view field) {
        require(value >= Duration::zero(), field, kNegative);
    }
    void positive(Duration value, std::string_view field) {
        require(value > Duration::zero(), field, "must be above 0");
    }

    // The fields that follow are of one entry of a list.
    void enter(const std::string& list, std::size_t index) {
        prefix_ = list + "[" + std::to_string(index) + "].";
    }

    std::optional<SettingsProblem> problem() && { return std::move(problem_); }

private:
    std::string prefix_;
    std::optional<SettingsProblem> problem_;
};

void checkGateway(Checker& check, const Settings& settings) {
    check.require(!settings.classes.empty(), "classes", "at least one is needed");
    check.require(settings.gatewayCount >= 1, "gatewayCount", "must be 1 or more");
    check.require(settings.gatewayIndex >= 0 && settings.gatewayIndex < settings.gatewayCount, "gatewayIndex",
                  "must be from 0 to gatewayCount - 1");
    check.require(settings.maxAttempts >= 1, "maxAttempts", "must be 1 or more");
    check.notNegative(settings.maxRequestCost, "maxRequestCost");
    check.notNegative(settings.counterTimeout, "counterTimeout");
    check.notNegative(settings.drainGracePeriod, "drainGracePeriod");
    const double initialShare = settings.slowStartInitialShare;
    check.require(!(initialShare < 0 || initialShare > 1), "slowStartInitialShare", "must be from 0 to 1");
    check.notNegative(settings.slowStartDuration, "slowStartDuration");
    check.notNegative(settings.overloadMultiple, "overloadMultiple");
    check.notNegative(settings.overloadWindow, "overloadWindow");
}

void checkClass(Checker& check, const RequestClass& terms) {
    check.positive(terms.latencyObjective, "latencyObjective");
    check.positive(terms.deadline, "deadline");
    check.notNegative(terms.idempotencyWindow, "idempotencyWindow");
    check.notNegative(terms.latencyObjectiveStretch, "latencyObjectiveStretch");
}

void checkPlan(Checker& check, const QuotaPlan& plan) {
    check.notNegative(plan.rate, "rate");
    check.notNegative(plan.burst, "burst");
    check.notNegative(plan.concurrency, "concurrency");
    check.notNegative(plan.ceilingRate, "ceilingRate");
    check.notNegative(plan.ceilingBurst, "ceilingBurst");
    check.notNegative(plan.ceilingSlack, "ceilingSlack");
}

}  // namespace

std::optional<SettingsProblem> validate(const Settings& settings) {
    Checker check;
    checkGateway(check, settings);
    for (std::size_t i = 0; i < settings.classes.size(); ++i) {
        check.enter("classes", i);
        checkClass(check, settings.classes[i]);
    }
    for (std::size_t i = 0; i < settings.plans.size(); ++i) {
        check.enter("plans", i);
        checkPlan(check, settings.plans[i]);
    }
    return std::move(check).problem();
}

}  // namespace gateway
