#include "decision/upstream/latency_stats.h"

#include <algorithm>

#include "decision/common/arithmetic.h"

namespace gateway {
namespace {

constexpr double kMinMeanSmoothing = 0.02;        // weight of a new sample once the class has many samples
constexpr double kInitialObjectiveShare = 0.125;  // expected response time before the first response

}  // namespace

LatencyStats::LatencyStats(const Settings& settings)
    : settings_(settings), classes_(settings.classes.size()) {}

AttemptSample LatencyStats::observe(const Request& request, const AttemptEnded& ended) {
    const RequestClassIndex requestClass = request.arrival.requestClass;
    ClassLatency& latency = classes_[toPosition(requestClass)];
    AttemptSample sample;
    sample.seconds = toSeconds(ended.elapsed);
    sample.objectiveShare = sample.seconds / toSeconds(classOf(requestClass).latencyObjective);
    sample.completedUnstreamed = ended.outcome == Outcome::ok && !request.streaming;
    sample.timedOut = ended.outcome == Outcome::timedOut;
    sample.slow =
        sample.timedOut || (sample.completedUnstreamed && sample.objectiveShare > kSlowObjectiveShare);
    sample.indicatesOverload = sample.slow || ended.outcome == Outcome::rejected;
    if (sample.completedUnstreamed) {
        ++latency.samples;
        const double weight = std::max(kMinMeanSmoothing, 1.0 / latency.samples);
        latency.meanSeconds = movingAverage(latency.meanSeconds, sample.seconds, weight);
    }
    sample.classMeanSeconds = latency.meanSeconds;
    return sample;
}

double LatencyStats::expectedSeconds(RequestClassIndex requestClass) const {
    const double mean = classes_[toPosition(requestClass)].meanSeconds;
    if (mean > 0) return mean;
    return toSeconds(classOf(requestClass).latencyObjective) * kInitialObjectiveShare;
}

double LatencyStats::relativeWork(RequestClassIndex requestClass) const {
    double totalSeconds = 0;
    double samples = 0;
    for (const ClassLatency& latency : classes_) {
        totalSeconds += latency.meanSeconds * latency.samples;
        samples += latency.samples;
    }
    const double own = classes_[toPosition(requestClass)].meanSeconds;
    return own > 0 && totalSeconds > 0 ? own * samples / totalSeconds : 1;
}

Duration LatencyStats::latencyObjective(RequestClassIndex requestClass) const {
    const RequestClass& terms = classOf(requestClass);
    const double stretch = terms.latencyObjectiveStretch;
    const double stretchSeconds = stretch > 0 ? stretch * expectedSeconds(requestClass) : 0;
    const Duration maxObjective = std::max(terms.deadline, terms.latencyObjective);
    return std::min(terms.latencyObjective + fromSeconds(stretchSeconds), maxObjective);
}

Duration LatencyStats::timeLeft(const Request& request, TimePoint now) const {
    const RequestArrived& arrival = request.arrival;
    const RequestClass& terms = classOf(arrival.requestClass);
    const bool isLateResponseUseless = terms.lateWeight <= 0 && !terms.streamed;
    TimePoint end = arrival.deadline;
    if (isLateResponseUseless)
        end = std::min(end, request.arrivedAt + latencyObjective(arrival.requestClass));
    return end - now;
}

const RequestClass& LatencyStats::classOf(RequestClassIndex requestClass) const {
    return settings_.classes[toPosition(requestClass)];
}

}  // namespace gateway
