#include "decision/upstream/endpoint_concurrency_limit.h"

#include <algorithm>

#include "decision/common/arithmetic.h"

namespace gateway {
namespace {

constexpr double kMinLimit = 1.0;            // attempts
constexpr double kOverloadMultiplier = 0.8;  // applied to the limit of an overloaded endpoint

}  // namespace

void EndpointConcurrencyLimit::observe(const AttemptSample& sample, TimePoint now) {
    if (sample.indicatesOverload) {
        if (now - loweredAt_ <= fromSeconds(sample.classMeanSeconds)) return;
        maxInFlight_ = std::max(kMinLimit, maxInFlight_ * kOverloadMultiplier);
        loweredAt_ = now;
    } else if (sample.completedUnstreamed && isNearlyUsedUp()) {
        maxInFlight_ += 1 / maxInFlight_;
    }
}

void EndpointConcurrencyLimit::reset(double maxInFlight) {
    maxInFlight_ = maxInFlight;
    loweredAt_ = TimePoint{};
}

}  // namespace gateway
