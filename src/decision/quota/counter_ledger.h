// What this gateway posts to the counter service: charges, refunds and reconciliations of tenants' window
// slices.
//
// Refunds and reconciliations are carried by the next call for their slice, or are flushed soon after. A
// reconciliation is Šnuderl's post-request weight correction: the actual cost less the charge. A debt beyond
// a closed slice's rate is carried forward into the next slice.
#pragma once

#include <cstddef>
#include <optional>

#include "decision/engine/event_context.h"
#include "decision/engine/request_table.h"
#include "decision/quota/ceiling_bucket.h"
#include "decision/quota/counter_sampler.h"
#include "decision/quota/quota_window.h"
#include "decision/quota/slice_key.h"
#include "decision/quota/tenant_table.h"

namespace gateway {

// Owns no state: it changes the slices and ceiling tokens of tenants, the charges of requests and the
// sampler.
class CounterLedger {
public:
    // What a reply of the counter was for.
    struct ReplyResult {
        RequestKey charged = RequestKey::none;  // the undecided request whose charge the call posted
        RequestKey reader = RequestKey::none;   // the request that waited for the slice's total only
        bool ok = false;                        // the counter reported a total
        TenantId tenant{};
        // Position of the slice in Tenant::slices when the reply came; nothing if the slice is unknown. If
        // the decisions on the requests open a new slice, afterReply() finds another slice at that position:
        // see "Known faults" in docs/design.md.
        std::optional<std::size_t> slicePosition;
    };

    // All arguments must outlive the ledger.
    CounterLedger(const Settings& settings, const UsageEstimator& usage, QuotaWindow& window,
                  CeilingBucket& ceiling, CounterSampler& sampler, TenantTable& tenants,
                  RequestTable& requests)
        : settings_(settings),
          usage_(usage),
          window_(window),
          ceiling_(ceiling),
          sampler_(sampler),
          tenants_(tenants),
          requests_(requests) {}

    // Posts the request's charge to the slice, with all that is pending there. The request waits for the
    // reply.
    void postCharge(EventContext& context, const Tenant& tenant, WindowSlice& slice, Request& request);

    // Takes in a reply, or the failure of a call. Each request of the result has one reply less to wait for.
    // Replies for an unknown slice only inform the sampler.
    ReplyResult onReply(EventContext& context, const CounterReplied& reply);

    // Schedules a flush of what is pending. To be called when the requests of the result have been decided.
    void afterReply(EventContext& context, const ReplyResult& result);

    // Records the cost of an admitted request in the slice.
    void recordAdmitted(const Tenant& tenant, WindowSlice& slice, const Request& request);

    // Refunds the charge of a rejected request at once, as other gateways may read the slice's total soon.
    // `slice` may be null.
    void refundRejected(EventContext& context, const Request& request, WindowSlice* slice);

    // Refunds the charge of an admitted request that reached no endpoint, and what it drew from the ceiling.
    void refundUnsent(EventContext& context, const Request& request);

    // Posts the request's actual cost less its charge as debt, or as refund if negative. Does nothing if the
    // tenant has changed to another plan since.
    void reconcile(EventContext& context, Tenant& tenant, const Request& request, double difference);

    // Posts what is pending on a slice, or schedules a new flush if the counter is congested.
    void flush(EventContext& context, const SliceKey& key);

private:
    void post(EventContext& context, const Tenant& tenant, const WindowSlice& slice, const CounterCall& call);
    void applyTotal(Tenant& tenant, WindowSlice& slice, const CounterCall& call, double total, TimePoint now);
    double lostCost(const QuotaPlan& plan, const CounterCall& call, double total) const;
    void readClosedSlice(EventContext& context, Tenant& tenant, const CounterCall& call, Request& request,
                         const CounterReplied& reply);
    bool shouldReadClosedSlice(const Tenant& tenant, const WindowSlice& closed, TimePoint now) const;
    void carryDebt(EventContext& context, Tenant& tenant, const WindowSlice& closed);
    UnconfirmedCost unconfirmedCost(const Tenant& tenant, double cost) const;
    void scheduleFlush(EventContext& context, const Tenant& tenant, WindowSlice& slice);
    bool mustSampleReconciliations(const Tenant& tenant, const WindowSlice& slice) const;
    bool samplePendingCharge(EventContext& context, WindowSlice& slice);

    const Settings& settings_;
    const UsageEstimator& usage_;
    QuotaWindow& window_;
    CeilingBucket& ceiling_;
    CounterSampler& sampler_;
    TenantTable& tenants_;
    RequestTable& requests_;
};

}  // namespace gateway
