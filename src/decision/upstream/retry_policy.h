// When a request may be sent once more: here by a further attempt, or by its client after a rejection.
#pragma once

#include "decision/engine/request.h"
#include "decision/upstream/latency_stats.h"
#include "gateway/settings.h"

namespace gateway {

class RetryPolicy {
public:
    // Both arguments must outlive the policy.
    RetryPolicy(const Settings& settings, const LatencyStats& latency)
        : settings_(settings), latency_(latency) {}

    // A request's first attempt is sent: further attempts of all requests are bounded to a share of these.
    void onFirstAttempt();

    // Whether the request, whose latest attempt has failed, gets another one. Spends from the budget if so.
    bool takeRetry(const Request& request, TimePoint now);

    // Whether the client may repeat the request at no risk of a duplicate effect.
    bool isRepeatHarmless(const Request& request, TimePoint now) const;

    // For how long from now another attempt may begin; 0: no such limit.
    Duration beginWithin(const Request& request, TimePoint now) const;

private:
    static constexpr double kMaxTokens = 10;  // further attempts that may be saved up

    bool isWithinIdempotencyWindow(const Request& request, TimePoint now) const;
    const RequestClass& classOf(const Request& request) const {
        return settings_.classes[toPosition(request.arrival.requestClass)];
    }

    const Settings& settings_;
    const LatencyStats& latency_;
    double tokens_ = kMaxTokens;
};

}  // namespace gateway
