#include "decision/upstream/slow_start.h"

#include <algorithm>

#include "decision/common/arithmetic.h"

namespace gateway {
namespace {

constexpr double kOverloadShareSmoothing = 0.05;  // weight of a new attempt
constexpr double kUsedOverloadShare = 0.9;        // share of the overload multiple that the budgets may use
constexpr double kLowTrafficReserve = 1.25;       // divides the budgets under low local traffic
constexpr double kUnservedCreditShare = 0.5;      // share of unserved work that is credited as served
// Unserved work is credited only after overloadWindow / kUnservedWindowDivisor without a served request.
constexpr int kUnservedWindowDivisor = 8;
constexpr double kMinTotalCapacity = 1e-9;  // guards against division by zero

}  // namespace

double SlowStart::rampShare(Duration age) const {
    const double progress = std::max(toSeconds(age) / toSeconds(settings_.slowStartDuration), 0.0);
    const double initial = settings_.slowStartInitialShare;
    return initial + (1 - initial) * progress;
}

void SlowStart::startTokens(Endpoint& endpoint) const {
    const EndpointEntry& entry = endpoint.entry();
    const double tokens = evenlySpreadFraction(entry.id.value(), entry.startedAt, settings_.gatewayIndex);
    endpoint.slowStartTokens().start(tokens, servedWork_);
}

void SlowStart::accrueTokens(Endpoint& endpoint, double capacityShare, const TotalCapacity& total) const {
    if (capacityShare >= 1) return;
    if (!endpoint.isInSubset()) {
        endpoint.slowStartTokens().skip(servedWork_);
        return;
    }
    endpoint.slowStartTokens().accrue(servedWork_, endpointCapacity(endpoint, capacityShare, total),
                                      totalCapacityWithReserve(total));
}

// Returns the capacity by which this gateway's budget for the endpoint grows. It is divided by the subset
// share, since only the gateways whose subsets contain the endpoint use it.
double SlowStart::endpointCapacity(const Endpoint& endpoint, double capacityShare,
                                   const TotalCapacity& total) const {
    return capacityShare * endpoint.entry().weight * budgetMultiplier(total) / endpoint.subsetShare();
}

double SlowStart::totalCapacityWithReserve(const TotalCapacity& total) const {
    double capacity = total.effectiveWeight();
    // Under low local traffic, the distribution of requests over the gateways is random, so the gateways
    // don't send their attempts in turn. The budgets need a reserve for that.
    if (stats_.observesEndpointsRarely())
        capacity = std::max(total.fullWeight(), kLowTrafficReserve * total.effectiveWeight());
    return std::max(capacity, kMinTotalCapacity);
}

// With a multiplier of 1, an endpoint is utilized as much as the warm endpoints; further attempts would queue
// there while warm endpoints have capacity left. The multiplier rises towards the overload multiple while a
// larger share of the attempts at warm endpoints than of those at endpoints that are warming up indicates
// overload, or if no endpoint is warm.
double SlowStart::budgetMultiplier(const TotalCapacity& total) const {
    const double excessOverloadShare = (overloadShareOfWarm_ - overloadShareOfWarmingUp_) / kTargetSlowShare;
    const double pressure = total.hasWarmEndpoint() ? std::clamp(excessOverloadShare, 0.0, 1.0) : 1;
    const double maxMultiplier = std::max(1.0, settings_.overloadMultiple * kUsedOverloadShare);
    return 1 + (maxMultiplier - 1) * pressure;
}

bool SlowStart::mayReceiveAttempt(const Endpoint& endpoint, double capacityShare) {
    if (capacityShare >= 1) return true;
    return endpoint.isInSubset() && endpoint.slowStartTokens().hasToken();
}

void SlowStart::observe(const Endpoint& endpoint, const AttemptSample& sample, TimePoint now) {
    if (!sample.indicatesOverload && !sample.completedUnstreamed) return;
    double& overloadShare =
        isWarmingUp(endpoint.entry(), now) ? overloadShareOfWarmingUp_ : overloadShareOfWarm_;
    overloadShare = movingAverage(overloadShare, sample.indicatesOverload ? 1 : 0, kOverloadShareSmoothing);
}

void SlowStart::recordServed(const Endpoint& endpoint, double work, TimePoint now) {
    servedAt_ = now;
    if (endpoint.isUsable()) servedWork_ += work;
}

// If no endpoint has served a request recently, the demand serves as an estimate of the capacity. It may be
// too high.
void SlowStart::recordUnserved(double work, TimePoint now) {
    if (now - servedAt_ > settings_.overloadWindow / kUnservedWindowDivisor)
        servedWork_ += kUnservedCreditShare * work;
}

}  // namespace gateway
