#include "decision/upstream/latency_stats.h"

#include <algorithm>

#include "decision/common/arithmetic.h"

namespace gateway {
namespace {

constexpr double kMinSampleWeight = 0.02;         // of a new sample in a class's mean
constexpr double kInitialObjectiveShare = 0.125;  // taken for a class's mean before its first response

}  // namespace

LatencyStats::LatencyStats(const Settings& settings)
    : settings_(settings), classes_(settings.classes.size()) {}

AttemptSample LatencyStats::observe(const Request& request, const AttemptEnded& ended) {
    const auto index = toPosition(request.arrival.requestClass);
    ClassLatency& latency = classes_[index];
    AttemptSample sample;
    sample.seconds = toSeconds(ended.elapsed);
    sample.objectiveShare = sample.seconds / toSeconds(settings_.classes[index].latencyObjective);
    sample.served = ended.outcome == Outcome::ok && !request.streaming;
    sample.timedOut = ended.outcome == Outcome::timedOut;
    sample.slow = sample.timedOut || (sample.served && sample.objectiveShare > kSlowObjectiveShare);
    sample.overloaded = sample.slow || ended.outcome == Outcome::rejected;
    if (sample.served) {
        const double weight = std::max(kMinSampleWeight, 1.0 / ++latency.samples);
        latency.meanSeconds = movingAverage(latency.meanSeconds, sample.seconds, weight);
    }
    sample.classSeconds = latency.meanSeconds;
    return sample;
}

double LatencyStats::expectedSeconds(RequestClassIndex requestClass) const {
    const auto index = toPosition(requestClass);
    const double mean = classes_[index].meanSeconds;
    return mean > 0 ? mean : toSeconds(settings_.classes[index].latencyObjective) * kInitialObjectiveShare;
}

double LatencyStats::relativeWork(RequestClassIndex requestClass) const {
    double work = 0;
    double samples = 0;
    for (const ClassLatency& latency : classes_) {
        work += latency.meanSeconds * latency.samples;
        samples += latency.samples;
    }
    const double own = classes_[toPosition(requestClass)].meanSeconds;
    return own > 0 && work > 0 ? own * samples / work : 1;
}

Duration LatencyStats::latencyObjective(RequestClassIndex requestClass) const {
    const RequestClass& terms = settings_.classes[toPosition(requestClass)];
    const double stretch = terms.latencyObjectiveStretch;
    const double stretchSeconds = stretch > 0 ? stretch * expectedSeconds(requestClass) : 0;
    return std::min(terms.latencyObjective + fromSeconds(stretchSeconds),
                    std::max(terms.deadline, terms.latencyObjective));
}

Duration LatencyStats::timeLeft(const Request& request, TimePoint now) const {
    const RequestArrived& arrival = request.arrival;
    const RequestClass& terms = settings_.classes[toPosition(arrival.requestClass)];
    TimePoint end = arrival.deadline;
    if (terms.lateWeight <= 0 && !terms.streamed)
        end = std::min(end, request.arrivedAt + latencyObjective(arrival.requestClass));
    return end - now;
}

}  // namespace gateway
