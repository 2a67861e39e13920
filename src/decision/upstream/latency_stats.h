// Response times of each request class, and the time limits that follow from them.
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

    // Takes in an attempt of `request` that ended, and measures it against its class.
    AttemptSample observe(const Request& request, const AttemptEnded& ended);

    // Mean response time of the class in seconds; before the first response, an estimate. Above 0.
    double expectedSeconds(RequestClassIndex requestClass) const;

    // Work of a request of this class, in requests of mean work. 1 before the first response.
    double relativeWork(RequestClassIndex requestClass) const;

    // Time from a request's arrival within which its response earns the full weight.
    Duration latencyObjective(RequestClassIndex requestClass) const;

    // Time that remains for an attempt that starts now, until the client disconnects or the response earns
    // nothing. Zero or negative: too late.
    Duration timeLeft(const Request& request, TimePoint now) const;

private:
    struct ClassLatency {
        double meanSeconds = 0;  // 0: no sample yet
        int samples = 0;
    };

    const RequestClass& termsOf(RequestClassIndex requestClass) const;

    const Settings& settings_;
    std::vector<ClassLatency> classes_;  // by RequestClassIndex
};

}  // namespace gateway
