#include "decision/upstream/slow_start.h"

#include <algorithm>
#include <utility>

#include "decision/common/arithmetic.h"

namespace gateway {
namespace {

constexpr double kSlowShareSmoothing = 0.05;    // weight of a new response in the share of slow ones
constexpr double kOverloadMargin = 0.9;         // share of the overload multiple that is used
constexpr double kSparseTrafficReserve = 1.25;  // with sparse traffic that share is less by this factor
constexpr double kMaxTokens = 1.5;              // attempts that each gateway may save up for an endpoint
constexpr double kUnservedCredit = 0.5;  // what a request counts that finds no endpoint, as if it were served
constexpr int kUnservedWindowPart = 8;   // of the overload window without a success, from which that counts
constexpr double kMinCapacity = 1e-9;    // against division by zero

}  // namespace

double SlowStart::capacityShare(const EndpointEntry& entry, TimePoint now) const {
    if (entry.startedAt <= TimePoint{} || settings_.slowStartDuration <= Duration{}) return 1;
    const double age = toSeconds(now - entry.startedAt) / toSeconds(settings_.slowStartDuration);
    const double initial = settings_.slowStartInitialShare;
    return age >= 1 ? 1 : initial + (1 - initial) * std::max(age, 0.0);
}

void SlowStart::onStart(Endpoint& endpoint) const {
    const EndpointEntry& entry = endpoint.entry;
    endpoint.slowStart.tokens =
        evenlySpreadFraction(entry.endpoint.value(), entry.startedAt, settings_.gatewayIndex);
    endpoint.slowStart.accruedAt = servedWork_;
}

void SlowStart::accrue(Endpoint& endpoint, double capacityShare, const FleetCapacity& fleet) const {
    const double served = servedWork_ - std::exchange(endpoint.slowStart.accruedAt, servedWork_);
    if (endpoint.subsetShare <= 0) return;
    const double share = capacityShare * endpoint.entry.weight * budgetMultiple(fleet) / endpoint.subsetShare;
    // With sparse traffic turns come by the chance of who gets the requests, which needs a reserve.
    const double capacity = stats_.isTrafficSparse()
                                ? std::max(fleet.weight, kSparseTrafficReserve * fleet.effectiveWeight)
                                : fleet.effectiveWeight;
    const double accrued = share * served / std::max(capacity, kMinCapacity);
    endpoint.slowStart.tokens = std::min(kMaxTokens, endpoint.slowStart.tokens + accrued);
}

// By its share an endpoint is as busy as warm ones are; more would queue there while those have room. Up to
// the overload multiple of that goes to it while they respond slowly and it doesn't, or where none is warm.
double SlowStart::budgetMultiple(const FleetCapacity& fleet) const {
    const double slower = (slowShareWarm_ - slowShareWarmingUp_) / kTargetSlowShare;
    const double pressure = fleet.hasWarmEndpoint ? std::clamp(slower, 0.0, 1.0) : 1;
    return 1 + (std::max(1.0, settings_.overloadMultiple * kOverloadMargin) - 1) * pressure;
}

bool SlowStart::mayReceive(Endpoint& endpoint, double capacityShare, const FleetCapacity& fleet) const {
    if (capacityShare >= 1) return true;
    accrue(endpoint, capacityShare, fleet);
    return endpoint.subsetShare > 0 && endpoint.slowStart.tokens >= 1;
}

void SlowStart::observe(const Endpoint& endpoint, const AttemptSample& sample, TimePoint now) {
    if (!sample.overloaded && !sample.served) return;
    double& slowShare = isWarmingUp(endpoint, now) ? slowShareWarmingUp_ : slowShareWarm_;
    slowShare = movingAverage(slowShare, sample.overloaded ? 1 : 0, kSlowShareSmoothing);
}

void SlowStart::noteServed(const Endpoint& endpoint, double relativeWork, TimePoint now) {
    servedAt_ = now;
    if (endpoint.usable) servedWork_ += relativeWork;
}

// Nothing is served and no endpoint is warm: then what is asked for has to tell, though it may be too much.
void SlowStart::noteUnserved(double relativeWork, TimePoint now) {
    if (now - servedAt_ > settings_.overloadWindow / kUnservedWindowPart)
        servedWork_ += kUnservedCredit * relativeWork;
}

}  // namespace gateway
