// Decides whether this gateway may retry a request, and whether its client may safely send it again.
#pragma once

#include "decision/engine/request.h"
#include "decision/upstream/latency_stats.h"
#include "gateway/settings.h"

namespace gateway {

// The retries of all requests share one budget, which first attempts refill, so that retries cannot multiply
// the load. Invariant: the budget lies between 0 and its maximum.
class RetryPolicy {
public:
    // Both arguments must outlive the policy.
    RetryPolicy(const Settings& settings, const LatencyStats& latency)
        : settings_(settings), latency_(latency) {}

    // Adds to the budget for the first attempt of a request.
    void recordFirstAttempt();

    // Takes one retry from the budget and returns true if the request, whose latest attempt has failed, may
    // be retried. Otherwise returns false and changes nothing.
    bool tryAcquireRetry(const Request& request, TimePoint now);

    // Whether the client may send the request again without the risk that a second execution has an effect.
    bool isClientRetrySafe(const Request& request, TimePoint now) const;

    // Time from `now` within which the next attempt must be sent, so that endpoints still recognize the
    // idempotency key. 0: no limit.
    Duration maxSendDelay(const Request& request, TimePoint now) const;

private:
    static constexpr double kMaxTokens = 10;  // retries that can be saved

    bool canRetry(const Request& request, TimePoint now) const;
    bool isWithinIdempotencyWindow(const Request& request, TimePoint now) const;
    const RequestClass& classOf(const Request& request) const;

    const Settings& settings_;
    const LatencyStats& latency_;
    double tokens_ = kMaxTokens;  // one for each retry
};

}  // namespace gateway
