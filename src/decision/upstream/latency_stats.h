// How long responses of each class take, and what a single attempt tells.
#pragma once

#include <cstddef>
#include <vector>

#include "decision/engine/request.h"
#include "gateway/events.h"
#include "gateway/settings.h"

namespace gateway {

// The share of slow responses that concurrency limits settle at.
constexpr double kTargetSlowShare = 0.1;

// Share of its latency objective from which a response counts as slow.
constexpr double kSlowObjectiveShare = 0.6;

// What an attempt that ended shows of its endpoint and of the load.
struct AttemptSample {
    double seconds = 0;         // it took
    double objectiveShare = 0;  // the same as a share of its class's latency objective
    double classSeconds = 0;    // the mean of its class, this one in; 0: none yet
    bool served = false;        // a whole response that was not streamed
    bool timedOut = false;
    bool slow = false;        // a slow response, or a time-out
    bool overloaded = false;  // slow, or turned away
};

class LatencyStats {
public:
    // `settings` must outlive the statistics.
    explicit LatencyStats(const Settings& settings);

    // Takes in an attempt that ended.
    AttemptSample observe(const Request& request, const AttemptEnded& ended);

    // Seconds that a request of this class usually takes.
    double expectedSeconds(RequestClassIndex requestClass) const;

    // A request's work, in requests of mean work.
    double relativeWork(RequestClassIndex requestClass) const;

    // Until when a response earns its full weight, from the request's arrival.
    Duration latencyObjective(RequestClassIndex requestClass) const;

    // How long an attempt that begins now may take: until the client leaves, or until its response is worth
    // nothing.
    Duration timeLeft(const Request& request, TimePoint now) const;

private:
    struct ClassLatency {
        double meanSeconds = 0;  // 0: no sample yet
        int samples = 0;
    };

    const Settings& settings_;
    std::vector<ClassLatency> classes_;
};

}  // namespace gateway
