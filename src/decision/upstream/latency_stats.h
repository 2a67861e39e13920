// Response times of each request class, and the time limits that depend on them.
#pragma once

#include <vector>

#include "decision/engine/request.h"
#include "decision/upstream/attempt_sample.h"
#include "gateway/events.h"
#include "gateway/settings.h"

namespace gateway {

// Preconditions of all operations: the request class is one of the settings'.
class LatencyStats {
public:
    // `settings` must outlive the statistics.
    explicit LatencyStats(const Settings& settings);

    // Records an attempt of `request` that ended, and returns its measurements against its class.
    AttemptSample observe(const Request& request, const AttemptEnded& ended);

    // Mean response time of the class; an estimate before the first response. Always above 0.
    double expectedSeconds(RequestClassIndex requestClass) const;

    // Estimate of the work of a request of this class: its mean response time divided by the mean response
    // time of all requests. Wherever work is "in requests of mean work", its unit is that of an average
    // request. 1 before the first response of the class.
    double relativeWork(RequestClassIndex requestClass) const;

    // Time after a request's arrival within which its response earns the full weight.
    Duration latencyObjective(RequestClassIndex requestClass) const;

    // Time that remains for an attempt that starts now, until the client's deadline or until the response
    // would earn no weight. Zero or negative if that time has passed.
    Duration timeLeft(const Request& request, TimePoint now) const;

private:
    struct ClassLatency {
        double meanSeconds = 0;  // 0: no sample yet
        int samples = 0;
    };

    const RequestClass& classOf(RequestClassIndex requestClass) const;

    const Settings& settings_;
    std::vector<ClassLatency> classes_;  // by RequestClassIndex
};

}  // namespace gateway
