// The decision engine: routes events to its parts. It tells the way of a request from top to bottom.
#pragma once

#include <optional>

#include "decision/ceiling_bucket.h"
#include "decision/concurrency_limiter.h"
#include "decision/counter_ledger.h"
#include "decision/counter_sampler.h"
#include "decision/endpoint_picker.h"
#include "decision/endpoint_set.h"
#include "decision/endpoint_stats.h"
#include "decision/event_context.h"
#include "decision/latency_stats.h"
#include "decision/quota_admission.h"
#include "decision/quota_window.h"
#include "decision/random_source.h"
#include "decision/request_table.h"
#include "decision/retry_policy.h"
#include "decision/slow_start.h"
#include "decision/tenant_table.h"
#include "decision/timer_table.h"
#include "decision/usage_estimator.h"
#include "gateway/decision_engine.h"

namespace gateway {

class DecisionEngine::Impl {
public:
    Impl(Settings settings, std::uint64_t seed);
    Impl(const Impl&) = delete;  // the parts refer to one another
    Impl& operator=(const Impl&) = delete;
    ~Impl() = default;

    void handle(Time now, const Event& event, Actions& actions);

private:
    void on(EventContext& context, const EndpointUpdate& update);
    void on(EventContext& context, const RequestArrived& arrival);
    void on(EventContext& context, const CounterReplied& reply);
    void on(EventContext& context, const AttemptEnded& ended);
    void on(EventContext& context, const StreamStarted& started);
    void on(EventContext& context, const ClientDisconnected& disconnected);
    void on(EventContext& context, const TimerFired& fired);

    void onTimer(EventContext& context, const CounterWaitOver& timer);
    void onTimer(EventContext& context, const FlushDue& timer);
    void onTimer(EventContext& context, const DiscoveryRetryDue& timer);

    // The way of a request, in this order.
    void waitForCounter(EventContext& context, const Request& request);
    void onAwaitedReply(EventContext& context, RequestKey key, bool ok);
    void decide(EventContext& context, Request& request);
    void sendAttempt(EventContext& context, Request& request);
    void observeAttempt(const Request& request, const AttemptEnded& ended, Endpoint& endpoint, Time now);
    void noteRun(Request& request, const AttemptEnded& ended, const Attempt& attempt,
                 const Endpoint& endpoint);
    void settleCost(EventContext& context, Request& request, const AttemptEnded& ended, Tenant* tenant);
    void answerUnserved(EventContext& context, Request& request, Duration retryAfter);

    Duration expectedTime(const Request& request) const;
    const QuotaPlan* planOf(const Request& request) const;

    Settings settings_;
    RandomSource random_;
    std::optional<Time> startedAt_;
    bool watchesEndpoints_ = false;
    TimerTable timers_;
    RequestTable requests_;

    UsageEstimator usage_;
    QuotaWindow window_;
    CeilingBucket ceiling_;
    CounterSampler sampler_;
    TenantTable tenants_;
    CounterLedger ledger_;
    QuotaAdmission admission_;

    LatencyStats latency_;
    EndpointStats endpointStats_;
    SlowStart slowStart_;
    ConcurrencyLimiter limiter_;
    EndpointSet endpoints_;
    EndpointPicker picker_;
    RetryPolicy retries_;
};

}  // namespace gateway
