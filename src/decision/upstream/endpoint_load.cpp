#include "decision/upstream/endpoint_load.h"

#include <algorithm>

#include "decision/common/arithmetic.h"

namespace gateway {
namespace {

constexpr double kReportSmoothing = 0.3;     // weight of a new load report
constexpr double kSlownessSmoothing = 0.15;  // weight of a new latency sample
constexpr double kMaxSlowness = 10.0;        // of one sample, in mean latencies of its class

}  // namespace

void EndpointLoad::recordReport(double reportedInFlight, int ownInFlight) {
    const double remote = std::max(0.0, reportedInFlight - ownInFlight);
    remoteInFlight_ = movingAverage(remoteInFlight_, remote, kReportSmoothing);
}

void EndpointLoad::recordAttempt(const AttemptSample& sample, TimePoint now) {
    observedAt_ = now;
    if (!sample.hasLatency() || sample.classMeanSeconds <= 0) return;
    const double slowness = std::min(sample.seconds / sample.classMeanSeconds, kMaxSlowness);
    slowness_ = movingAverage(slowness_, slowness, kSlownessSmoothing);
}

}  // namespace gateway
