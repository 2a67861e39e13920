// Implements validate(): checks that the values of the settings are in range and consistent.
#include <string>
#include <string_view>
#include <utility>

#include "gateway/settings.h"

namespace gateway {
namespace {

constexpr std::string_view kMustNotBeNegative = "must not be negative";

// Runs checks and keeps the first problem that one of them finds.
class Checker {
public:
    void require(bool holds, std::string_view field, std::string_view reason) {
        if (!holds && !problem_)
            problem_ = SettingsProblem{prefix_ + std::string(field), std::string(reason)};
    }
    void requireNotNegative(double value, std::string_view field) {
        require(!(value < 0), field, kMustNotBeNegative);
    }
    void requireNotNegative(Duration value, std::string_view field) {
        require(value >= Duration::zero(), field, kMustNotBeNegative);
    }
    void requirePositive(Duration value, std::string_view field) {
        require(value > Duration::zero(), field, "must be greater than 0");
    }

    // Prefixes the fields of the following checks with `list[index].`.
    void enterItem(const std::string& list, std::size_t index) {
        prefix_ = list + "[" + std::to_string(index) + "].";
    }

    const std::optional<SettingsProblem>& problem() const { return problem_; }

private:
    std::string prefix_;
    std::optional<SettingsProblem> problem_;
};

void checkGateway(Checker& check, const Settings& settings) {
    check.require(!settings.classes.empty(), "classes", "must have at least one entry");
    check.require(settings.gatewayCount >= 1, "gatewayCount", "must be 1 or more");
    check.require(settings.gatewayIndex >= 0 && settings.gatewayIndex < settings.gatewayCount, "gatewayIndex",
                  "must be from 0 to the number of gateways - 1");
    check.require(settings.maxAttempts >= 1, "maxAttempts", "must be 1 or more");
    check.requireNotNegative(settings.maxRequestCost, "maxRequestCost");
    check.requireNotNegative(settings.counterTimeout, "counterTimeout");
    check.requireNotNegative(settings.drainGracePeriod, "drainGracePeriod");
    const double initialShare = settings.slowStartInitialShare;
    check.require(!(initialShare < 0 || initialShare > 1), "slowStartInitialShare", "must be from 0 to 1");
    check.requireNotNegative(settings.slowStartDuration, "slowStartDuration");
    check.requireNotNegative(settings.overloadMultiple, "overloadMultiple");
    check.requireNotNegative(settings.overloadWindow, "overloadWindow");
}

void checkClass(Checker& check, const RequestClass& requestClass) {
    check.requirePositive(requestClass.latencyObjective, "latencyObjective");
    check.requirePositive(requestClass.deadline, "deadline");
    check.requireNotNegative(requestClass.idempotencyWindow, "idempotencyWindow");
    check.requireNotNegative(requestClass.latencyObjectiveStretch, "latencyObjectiveStretch");
}

void checkPlan(Checker& check, const QuotaPlan& plan) {
    check.requireNotNegative(plan.rate, "rate");
    check.requireNotNegative(plan.burst, "burst");
    check.requireNotNegative(plan.concurrency, "concurrency");
    check.requireNotNegative(plan.ceilingRate, "ceilingRate");
    check.requireNotNegative(plan.ceilingBurst, "ceilingBurst");
    check.requireNotNegative(plan.ceilingSlack, "ceilingSlack");
}

}  // namespace

std::optional<SettingsProblem> validate(const Settings& settings) {
    Checker check;
    checkGateway(check, settings);
    for (std::size_t i = 0; i < settings.classes.size(); ++i) {
        check.enterItem("classes", i);
        checkClass(check, settings.classes[i]);
    }
    for (std::size_t i = 0; i < settings.plans.size(); ++i) {
        check.enterItem("plans", i);
        checkPlan(check, settings.plans[i]);
    }
    return check.problem();
}

}  // namespace gateway
