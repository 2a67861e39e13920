#include "decision/upstream/concurrency_limiter.h"

#include <algorithm>

#include "decision/common/arithmetic.h"
#include "decision/common/fleet_size.h"

namespace gateway {
namespace {

constexpr double kInitialLimit = 16;    // at one endpoint, over all gateways
constexpr double kUnqueuedLimit = 5;    // in a large fleet no lower: an endpoint serves so many at once
constexpr double kMinInitialLimit = 2;  // of this gateway over all endpoints, at first
constexpr double kMinLimit = 0.1;       // the same later on
constexpr double kMaxStep = 1.0;        // of the limit over all endpoints, in attempts
constexpr double kStepShare = 0.25;     // of that limit, at most
constexpr double kUsedShare = 0.8;      // of that limit, from which it may rise
constexpr double kEndpointCut = 0.8;    // factor on an endpoint's limit when it is overloaded
constexpr double kMedianUp = 1.05;      // factors on the running median
constexpr double kMedianDown = 0.95;
constexpr double kMinMedian = 0.01;
constexpr double kMaxMedian = 1.0;

}  // namespace

// The more gateways, the later each learns from its few responses that all of them fill the queues.
ConcurrencyLimiter::ConcurrencyLimiter(const Settings& settings) {
    const double smallFleet = static_cast<double>(kMaxSmallFleet) / settings.gatewayCount;
    initialShare_ =
        std::max(kUnqueuedLimit, kInitialLimit * std::min(1.0, smallFleet)) / settings.gatewayCount;
}

void ConcurrencyLimiter::onEndpointSet(std::size_t endpoints) {
    if (maxInFlight_ > 0) return;
    maxInFlight_ = std::max(kMinInitialLimit, initialShare_ * static_cast<double>(endpoints));
}

double ConcurrencyLimiter::initialEndpointLimit() const {
    return std::max(1.0, initialShare_);
}

void ConcurrencyLimiter::begin(Endpoint& endpoint) {
    ++endpoint.inFlight;
    ++inFlight_;
}

void ConcurrencyLimiter::end(Endpoint& endpoint) {
    --endpoint.inFlight;
    --inFlight_;
}

// Time-outs and rejections while the usual response is quick are their endpoints' own (silent, ageing, short
// of connections, a failing class): those are avoided, and rejecting everybody would not help. The median
// takes time-outs in.
void ConcurrencyLimiter::observe(const AttemptSample& sample, Outcome outcome) {
    const double step = std::min(kMaxStep, maxInFlight_ * kStepShare);
    if (sample.served || sample.timedOut) {
        const double factor = sample.objectiveShare > medianObjectiveShare_ ? kMedianUp : kMedianDown;
        medianObjectiveShare_ = std::clamp(medianObjectiveShare_ * factor, kMinMedian, kMaxMedian);
    }
    const bool isUsualSlow = medianObjectiveShare_ > kSlowObjectiveShare / 2;
    if ((sample.slow || outcome == Outcome::rejected) && (sample.served || isUsualSlow))
        maxInFlight_ = std::max(kMinLimit, maxInFlight_ - step);
    else if (sample.served && inFlight_ + 1 > kUsedShare * maxInFlight_)
        maxInFlight_ += step * kTargetSlowShare / (1 - kTargetSlowShare);
}

void ConcurrencyLimiter::observe(Endpoint& endpoint, const AttemptSample& sample, TimePoint now) {
    EndpointLimit& limit = endpoint.limit;
    if (sample.overloaded && now - limit.cutAt > fromSeconds(sample.classSeconds)) {
        limit.maxInFlight = std::max(1.0, limit.maxInFlight * kEndpointCut);
        limit.cutAt = now;
    } else if (!sample.overloaded && sample.served && endpoint.inFlight + 1 >= limit.maxInFlight - 1) {
        limit.maxInFlight += 1 / limit.maxInFlight;
    }
}

}  // namespace gateway
