// The lifecycle of a request: admission by its tenant's quota, attempts and retries, the final answer.
//
// Every request gets exactly one final answer: the response of the endpoint, which the caller forwards when
// an attempt succeeds, or else RejectRequest or FailRequest. A request whose client disconnects first gets
// none.
#pragma once

#include "decision/engine/attempt_dispatcher.h"
#include "decision/engine/event_context.h"
#include "decision/engine/executed_requests.h"
#include "decision/engine/request_table.h"
#include "decision/quota/counter_ledger.h"
#include "decision/quota/quota_admission.h"
#include "decision/quota/tenant_table.h"
#include "decision/upstream/latency_stats.h"
#include "decision/upstream/retry_policy.h"
#include "gateway/settings.h"

namespace gateway {

class RequestLifecycle {
public:
    // The tenants and the modules that charge them.
    struct Quota {
        TenantTable& tenants;
        CounterLedger& ledger;
        QuotaAdmission& admission;
    };

    // The modules that send a request to endpoints.
    struct Upstream {
        const LatencyStats& latency;
        RetryPolicy& retryPolicy;
        AttemptDispatcher& dispatcher;
    };

    // All arguments, and the objects that they refer to, must outlive this object.
    RequestLifecycle(const Settings& settings, RequestTable& requests, const Quota& quota,
                     const Upstream& upstream);

    // Forwards the request, rejects it, or lets it wait for the counter's replies. Fails a request that was
    // sent before and may have been executed, if it must not be repeated.
    void onRequestArrived(EventContext& context, const RequestArrived& arrival);

    // Decides on the admission of the requests that waited for the counter's replies.
    void onCounterReplied(EventContext& context, const CounterReplied& reply);

    // Decides on the admission of the request without the counter's replies.
    void onCounterWaitExpired(EventContext& context, const CounterWaitExpired& timer);

    // Records the outcome, reconciles the actual cost, and retries or answers the request unless it is
    // closed. Ignores an attempt that is not in flight.
    void onAttemptEnded(EventContext& context, const AttemptEnded& ended);

    // Records that the request's attempts can no longer be cancelled.
    void onStreamStarted(const StreamStarted& started);

    // Closes the request. Cancels its attempts if the settings allow it and no response has begun. Refunds
    // its charge if its admission was not decided yet.
    void onClientDisconnected(EventContext& context, const ClientDisconnected& disconnected);

private:
    void startAdmission(EventContext& context, Request& request);
    void waitForCounter(EventContext& context, const Request& request);
    void recordAwaitedReply(EventContext& context, RequestKey key, bool ok);
    void decide(EventContext& context, Request& request);
    void forward(EventContext& context, Request& request);
    void cancelAttempts(EventContext& context, const Request& request) const;
    void refundUndecided(EventContext& context, Request& request);
    void recordWhetherExecuted(const Request& request, TimePoint now);
    void recordWhetherSent(Request& request, Outcome outcome) const;
    void recordReportedUsage(EventContext& context, Request& request, const AttemptEnded& ended,
                             Tenant* tenant);
    void answerUnserved(EventContext& context, Request& request, Duration retryAfter);

    bool hasTimeToBeServed(const Request& request, TimePoint now) const;
    // Mean response time of the request's class. A client whose request could not be sent or retried may try
    // again after this time: attempts in flight should have ended by then and freed capacity.
    Duration expectedResponseTime(const Request& request) const;
    const QuotaPlan* planOf(const Request& request) const;

    const Settings& settings_;
    RequestTable& requests_;
    ExecutedRequests executedRequests_;
    TenantTable& tenants_;
    CounterLedger& ledger_;
    QuotaAdmission& admission_;
    const LatencyStats& latency_;
    RetryPolicy& retryPolicy_;
    AttemptDispatcher& dispatcher_;
};

}  // namespace gateway
