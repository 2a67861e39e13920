#include "decision/upstream/endpoint_stats.h"

#include <algorithm>
#include <cmath>

#include "decision/common/arithmetic.h"

namespace gateway {
namespace {

constexpr double kMeanSmoothing = 0.15;  // weight of a new observation
constexpr double kMinDecaySeconds = 3;   // min time constant of the decay

}  // namespace

void EndpointStats::observe(const EndpointLoad& load, std::size_t endpointCount, TimePoint now) {
    meanRemoteInFlight_ = movingAverage(meanRemoteInFlight_, load.remoteInFlight(), kMeanSmoothing);
    const double gapSeconds = toSeconds(now - observedAt_);
    observedAt_ = now;
    observationIntervalSeconds_ = movingAverage(
        observationIntervalSeconds_, gapSeconds * static_cast<double>(endpointCount), kMeanSmoothing);
}

double EndpointStats::freshness(const EndpointLoad& load, TimePoint now) const {
    const double ageSeconds = toSeconds(now - load.observedAt());
    return std::exp(-ageSeconds / std::max(kMinDecaySeconds, observationIntervalSeconds_));
}

bool EndpointStats::observesEndpointsRarely() const {
    return observationIntervalSeconds_ > kMinDecaySeconds;
}

}  // namespace gateway
