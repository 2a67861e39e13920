// Decides whether a request may be sent again: by this gateway as a retry, or by its client after a
// rejection.
#pragma once

#include "decision/engine/request.h"
#include "decision/upstream/latency_stats.h"
#include "gateway/settings.h"

namespace gateway {

// Retries of all requests share one budget, which first attempts refill, so that retries cannot multiply the
// load. Invariant: the budget lies between 0 and its maximum.
class RetryPolicy {
public:
    // Both arguments must outlive the policy.
    RetryPolicy(const Settings& settings, const LatencyStats& latency)
        : settings_(settings), latency_(latency) {}

    // The first attempt of a request is sent. It adds to the budget.
    void recordFirstAttempt();

    // Spends one retry from the budget and returns true if the request, whose latest attempt has failed, may
    // be retried. Returns false and changes nothing otherwise.
    bool tryAcquireRetry(const Request& request, TimePoint now);

    // Whether the client may repeat the request without the risk that it is executed twice.
    bool isClientRetrySafe(const Request& request, TimePoint now) const;

    // Time from now within which the next attempt must be sent. 0: no limit.
    Duration maxSendDelay(const Request& request, TimePoint now) const;

private:
    static constexpr double kMaxTokens = 10;  // retries that can be saved

    bool canRetry(const Request& request, TimePoint now) const;
    bool isWithinIdempotencyWindow(const Request& request, TimePoint now) const;
    const RequestClass& termsOf(const Request& request) const;

    const Settings& settings_;
    const LatencyStats& latency_;
    double tokens_ = kMaxTokens;  // one for each retry
};

}  // namespace gateway
