// Limits this gateway's attempts in flight over all endpoints. The limit for one endpoint is
// EndpointConcurrencyLimit.
#pragma once

#include <cstddef>

#include "decision/common/random_source.h"
#include "decision/upstream/attempt_sample.h"
#include "gateway/events.h"
#include "gateway/settings.h"

namespace gateway {

// Sheds load before the endpoints' queues grow so long that no request meets its latency objective, whatever
// the cause: too many requests, endpoints that were lost, or slow machines. The limit settles where
// kTargetSlowShare of the responses are slow. Costly requests lower it as well, which reduces throughput only
// while the limit is reached.
//
// Invariants: the number of attempts in flight is never negative; once initialized, the limit stays above 0.
class ConcurrencyLimiter {
public:
    // Reads the settings only here.
    explicit ConcurrencyLimiter(const Settings& settings);

    // Sets the initial limit when the first endpoint list is known. Later calls change nothing. Until then no
    // attempt may begin.
    void initializeLimit(std::size_t endpointCount);

    // Initial limit for this gateway's attempts at one endpoint, at least 1.
    double initialEndpointLimit() const;

    // Whether one more attempt may begin. The fractional part of the limit is met by a random draw.
    bool hasCapacity(RandomSource& random) const { return inFlight_ + random.next() < maxInFlight_; }

    void beginAttempt() { ++inFlight_; }

    // Precondition: an attempt is in flight.
    void endAttempt() { --inFlight_; }

    // Adapts the limit to an attempt that ended.
    void observe(const AttemptSample& sample, Outcome outcome);

private:
    static constexpr double kInitialMedianObjectiveShare = 0.2;

    void updateMedian(const AttemptSample& sample);

    double initialEndpointShare_;  // attempts at one endpoint with which this gateway starts
    int inFlight_ = 0;
    double maxInFlight_ = 0;                                      // 0: the endpoint list is not known yet
    double medianObjectiveShare_ = kInitialMedianObjectiveShare;  // of response times in latency objectives
};

}  // namespace gateway
