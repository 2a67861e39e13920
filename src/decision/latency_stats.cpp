#include "decision/latency_stats.h"

#include <algorithm>

#include "decision/arithmetic.h"

namespace gateway {
namespace {

constexpr double kMinSampleWeight = 0.02;         // of a new sample in a class's mean
constexpr double kInitialObjectiveShare = 0.125;  // taken for a class's mean before its first response

}  // namespace

LatencyStats::LatencyStats(const Settings& settings)
    : settings_(settings), classes_(settings.classes.size()) {}

AttemptSample LatencyStats::observe(const Request& request, const AttemptEnded& ended) {
    const auto index = static_cast<std::size_t>(request.arrival.requestClass);
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

double LatencyStats::expectedSeconds(int requestClass) const {
    const auto index = static_cast<std::size_t>(requestClass);
    const double mean = classes_[index].meanSeconds;
    return mean > 0 ? mean : toSeconds(settings_.classes[index].latencyObjective) * kInitialObjectiveShare;
}

double LatencyStats::relativeWork(int requestClass) const {
    double work = 0;
    double samples = 0;
    for (const ClassLatency& latency : classes_) {
        work += latency.meanSeconds * latency.samples;
        samples += latency.samples;
    }
    const double own = classes_[static_cast<std::size_t>(requestClass)].meanSeconds;
    return own > 0 && work > 0 ? own * samples / work : 1;
}

Duration LatencyStats::latencyObjective(int requestClass) const {
    const RequestClass& terms = settings_.classes[static_cast<std::size_t>(requestClass)];
    const double stretch = terms.latencyObjectiveStretch;
    const double stretchSeconds = stretch > 0 ? stretch * expectedSeconds(requestClass) : 0;
    return std::min(terms.latencyObjective + fromSeconds(stretchSeconds),
                    std::max(terms.deadline, terms.latencyObjective));
}

Duration LatencyStats::timeLeft(const Request& request, Time now) const {
    const RequestArrived& arrival = request.arrival;
    const RequestClass& terms = settings_.classes[static_cast<std::size_t>(arrival.requestClass)];
    Time end = arrival.deadline;
    if (terms.lateWeight <= 0 && !terms.streamed)
        end = std::min(end, request.arrivedAt + latencyObjective(arrival.requestClass));
    return end - now;
}

}  // namespace gateway
