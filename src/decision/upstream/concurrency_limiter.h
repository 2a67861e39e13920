// Limits this gateway's attempts in flight at all endpoints together. EndpointConcurrencyLimit limits those
// at one endpoint.
#pragma once

#include <cstddef>

#include "decision/common/random_source.h"
#include "decision/upstream/attempt_sample.h"
#include "gateway/events.h"
#include "gateway/settings.h"

namespace gateway {

// Sheds load before the endpoints' queues grow so long that no request meets its latency objective, whether
// the cause is too many requests, a loss of endpoints or slow machines. The limit is stable while
// kTargetSlowShare of the responses are slow. Requests that are slow because they need much work lower it as
// well, which reduces throughput only while the limit is reached.
//
// Invariants: the number of attempts in flight is never negative; once initialized, the limit stays above 0.
class ConcurrencyLimiter {
public:
    // Does not keep a reference to `settings`.
    explicit ConcurrencyLimiter(const Settings& settings);

    // Sets the initial limit when the first endpoint list is known; no attempt may begin before that. Later
    // calls change nothing.
    void initializeLimit(std::size_t endpointCount);

    // Returns the initial limit for this gateway's attempts at one endpoint, at least 1.
    double initialEndpointLimit() const;

    // Whether one more attempt may begin. A random number decides on the fractional part of the limit.
    bool hasCapacity(RandomSource& random) const { return inFlight_ + random.next() < maxInFlight_; }

    void beginAttempt() { ++inFlight_; }

    // Precondition: an attempt is in flight.
    void endAttempt() { --inFlight_; }

    // Adapts the limit to the outcome of an attempt.
    void observe(const AttemptSample& sample, Outcome outcome);

private:
    static constexpr double kInitialMedianObjectiveShare = 0.2;

    void updateMedian(const AttemptSample& sample);

    double initialLimitPerEndpoint_;  // of this gateway, in attempts
    int inFlight_ = 0;
    double maxInFlight_ = 0;                                      // 0 until the endpoint list is known
    double medianObjectiveShare_ = kInitialMedianObjectiveShare;  // of AttemptSample::objectiveShare
};

}  // namespace gateway
