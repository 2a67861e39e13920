#include "decision/upstream/endpoint_stats.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "decision/common/arithmetic.h"

namespace gateway {
namespace {

constexpr double kReportSmoothing = 0.3;  // weight of an endpoint's new load report
constexpr double kSmoothing = 0.15;       // weight of a new sample in the other means
constexpr double kMaxSlowness = 10.0;     // in class means; more tells no more
constexpr double kFreshSeconds = 3;       // after which what was heard is mostly forgotten

}  // namespace

void EndpointStats::observe(Endpoint& endpoint, const AttemptEnded& ended, std::size_t endpoints,
                            TimePoint now) {
    EndpointLoad& load = endpoint.load;
    if (ended.report && ended.report->inFlight) {
        const double others = std::max(0.0, *ended.report->inFlight - endpoint.inFlight);
        load.othersInFlight = movingAverage(load.othersInFlight, others, kReportSmoothing);
    }
    othersInFlight_ = movingAverage(othersInFlight_, load.othersInFlight, kSmoothing);
    const double gap = toSeconds(now - std::exchange(observedAt_, now));
    observationSeconds_ =
        movingAverage(observationSeconds_, gap * static_cast<double>(endpoints), kSmoothing);
}

void EndpointStats::observeLatency(Endpoint& endpoint, const AttemptSample& sample) {
    if (!(sample.served || sample.timedOut) || sample.classSeconds <= 0) return;
    const double slowness = std::min(sample.seconds / sample.classSeconds, kMaxSlowness);
    endpoint.load.slowness = movingAverage(endpoint.load.slowness, slowness, kSmoothing);
}

double EndpointStats::freshness(const Endpoint& endpoint, TimePoint now) const {
    const double age = toSeconds(now - endpoint.load.observedAt);
    return std::exp(-age / std::max(kFreshSeconds, observationSeconds_));
}

bool EndpointStats::isTrafficSparse() const {
    return observationSeconds_ > kFreshSeconds;
}

}  // namespace gateway
