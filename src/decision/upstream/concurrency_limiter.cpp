#include "decision/upstream/concurrency_limiter.h"

#include <algorithm>

#include "decision/common/fleet_size.h"

namespace gateway {
namespace {

// Limits in attempts at one endpoint, by all gateways together.
constexpr double kInitialFleetLimit = 16;
constexpr double kMinInitialFleetLimit = 5;  // an endpoint is assumed to serve this many without a queue

// Limits in attempts at all endpoints, by this gateway.
constexpr double kMinInitialLimit = 2;
constexpr double kMinLimit = 0.1;

constexpr double kMaxStepAttempts = 1.0;         // max change of the limit, in attempts
constexpr double kMaxStepShare = 0.25;           // max change of the limit, as a share of it
constexpr double kMinRaiseUtilization = 0.8;     // share of the limit that must be in use before it rises
constexpr double kMedianRaiseMultiplier = 1.05;  // applied to the median for each sample above it
constexpr double kMedianLowerMultiplier = 0.95;
constexpr double kMinMedianObjectiveShare = 0.01;
constexpr double kMaxMedianObjectiveShare = 1.0;
constexpr double kSlowMedianObjectiveShare = kSlowObjectiveShare / 2;

}  // namespace

// In a large fleet, each gateway receives few responses and detects full queues late, so it starts with a
// lower limit.
ConcurrencyLimiter::ConcurrencyLimiter(const Settings& settings) {
    const double smallFleetShare = static_cast<double>(kMaxSmallFleet) / settings.gatewayCount;
    const double fleetLimit = kInitialFleetLimit * std::min(1.0, smallFleetShare);
    initialLimitPerEndpoint_ = std::max(kMinInitialFleetLimit, fleetLimit) / settings.gatewayCount;
}

void ConcurrencyLimiter::initializeLimit(std::size_t endpointCount) {
    if (maxInFlight_ > 0) return;
    maxInFlight_ = std::max(kMinInitialLimit, initialLimitPerEndpoint_ * static_cast<double>(endpointCount));
}

double ConcurrencyLimiter::initialEndpointLimit() const {
    return std::max(1.0, initialLimitPerEndpoint_);
}

// While the median response is fast, timeouts and rejections have causes that shedding load would not remove:
// single endpoints that are unresponsive or out of connections, which the picker avoids, or a failing class.
void ConcurrencyLimiter::observe(const AttemptSample& sample, Outcome outcome) {
    const double step = std::min(kMaxStepAttempts, maxInFlight_ * kMaxStepShare);
    updateMedian(sample);
    const bool isMedianSlow = medianObjectiveShare_ > kSlowMedianObjectiveShare;
    const bool isOverloaded = sample.slow || outcome == Outcome::rejected;
    const bool isLimitUsed = inFlight_ + 1 > kMinRaiseUtilization * maxInFlight_;
    if (isOverloaded && (sample.completedUnstreamed || isMedianSlow))
        maxInFlight_ = std::max(kMinLimit, maxInFlight_ - step);
    else if (sample.completedUnstreamed && isLimitUsed)
        maxInFlight_ += step * kTargetSlowShare / (1 - kTargetSlowShare);
}

// Updates a running estimate of the median, in which timeouts count as responses.
void ConcurrencyLimiter::updateMedian(const AttemptSample& sample) {
    if (!sample.hasLatency()) return;
    const bool isAboveMedian = sample.objectiveShare > medianObjectiveShare_;
    const double multiplier = isAboveMedian ? kMedianRaiseMultiplier : kMedianLowerMultiplier;
    medianObjectiveShare_ =
        std::clamp(medianObjectiveShare_ * multiplier, kMinMedianObjectiveShare, kMaxMedianObjectiveShare);
}

}  // namespace gateway
