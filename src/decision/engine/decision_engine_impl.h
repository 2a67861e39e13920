// The decision engine: routes events to its parts. It tells the way of a request from top to bottom.
#pragma once

#include <optional>

#include "decision/common/random_source.h"
#include "decision/engine/event_context.h"
#include "decision/engine/request_table.h"
#include "decision/engine/timer_table.h"
#include "decision/quota/ceiling_bucket.h"
#include "decision/quota/counter_ledger.h"
#include "decision/quota/counter_sampler.h"
#include "decision/quota/quota_admission.h"
#include "decision/quota/quota_window.h"
#include "decision/quota/tenant_table.h"
#include "decision/quota/usage_estimator.h"
#include "decision/upstream/concurrency_limiter.h"
#include "decision/upstream/endpoint_picker.h"
#include "decision/upstream/endpoint_set.h"
#include "decision/upstream/endpoint_stats.h"
#include "decision/upstream/latency_stats.h"
#include "decision/upstream/retry_policy.h"
#include "decision/upstream/slow_start.h"
#include "gateway/decision_engine.h"

namespace gateway {

class DecisionEngine::Impl {
public:
    Impl(Settings settings, std::uint64_t seed);
    Impl(const Impl&) = delete;  // the parts refer to one another
    Impl& operator=(const Impl&) = delete;
    ~Impl() = default;

    void handle(TimePoint now, const Event& event, Actions& actions);

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
    void observeAttempt(const Request& request, const AttemptEnded& ended, Endpoint& endpoint, TimePoint now);
    void noteRun(Request& request, const AttemptEnded& ended, const Attempt& attempt,
                 const Endpoint& endpoint);
    void settleCost(EventContext& context, Request& request, const AttemptEnded& ended, Tenant* tenant);
    void answerUnserved(EventContext& context, Request& request, Duration retryAfter);

    Duration expectedTime(const Request& request) const;
    const QuotaPlan* planOf(const Request& request) const;

    Settings settings_;
    RandomSource random_;
    std::optional<TimePoint> startedAt_;
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
