// Posts this gateway's charges, refunds and reconciliations to the counter service, and applies the totals
// that it reports to the window slices.
//
// The next call for a slice carries its pending refunds and reconciliations; without such a call, a timer
// flushes them. A reconciliation is the post-request weight correction of Šnuderl's "Rate limiting in API
// management": the actual cost less the charge. If a closed slice's total exceeds what its rate allows, the
// excess is carried forward into the next slice as debt.
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

// Keeps no state of its own: it updates the slices and ceiling tokens of tenants, the charges of requests and
// the sampler.
class CounterLedger {
public:
    // The requests and the slice that a counter reply concerns.
    struct ReplyResult {
        RequestKey chargedRequest = RequestKey::none;  // the undecided request whose charge the call posted
        RequestKey reader = RequestKey::none;          // the request that waited for the slice's total only
        bool ok = false;                               // the counter reported a total
        TenantId tenant{};
        // Position of the slice in Tenant::slices when the reply arrived; empty if the slice is unknown. The
        // decisions on the requests may remove the oldest slice; the position then refers to another slice:
        // see "Known faults" in docs/design.md.
        std::optional<std::size_t> slicePosition;
    };

    // All arguments must outlive the ledger.
    CounterLedger(const Settings& settings, const UsageEstimator& estimator, QuotaWindow& window,
                  CeilingBucket& ceiling, CounterSampler& sampler, TenantTable& tenants,
                  RequestTable& requests)
        : settings_(settings),
          estimator_(estimator),
          window_(window),
          ceiling_(ceiling),
          sampler_(sampler),
          tenants_(tenants),
          requests_(requests) {}

    // Posts the request's charge, and the slice's pending amounts. Increments the request's pending replies.
    void postCharge(EventContext& context, const Tenant& tenant, WindowSlice& slice, Request& request);

    // Processes a reply, or the failure of a call. The caller decrements the pending replies of the requests
    // in the result. A reply for an unknown slice is reported to the sampler only.
    ReplyResult onReply(EventContext& context, const CounterReplied& reply);

    // Schedules a flush of the slice's pending amounts. To be called after the requests of the result have
    // been decided.
    void scheduleFlushAfterReply(EventContext& context, const ReplyResult& result);

    // Records the cost of an admitted request in the slice.
    void recordAdmitted(const Tenant& tenant, WindowSlice& slice, const Request& request);

    // Refunds the charge of a rejected request, or of one whose client disconnected before the decision, if
    // the charge was posted. Tries to post the refund at once, because other gateways may read the slice's
    // total soon; see flush(). `slice` may be null.
    void refundRejected(EventContext& context, const Request& request, WindowSlice* slice);

    // Refunds the charge and the ceiling tokens of an admitted request that reached no endpoint.
    void refundUnsent(EventContext& context, const Request& request);

    // Adds `difference`, the request's actual cost less its charge, to the current slice; a negative one is a
    // refund. Does nothing if the tenant has changed to another plan since the request arrived.
    void reconcile(EventContext& context, Tenant& tenant, const Request& request, double difference);

    // Posts the pending amounts of a slice. If the counter is congested, the flush may be rescheduled, and
    // the pending charge of a tenant that relies on the usage meter may be sampled: dropped, or raised to
    // cover dropped ones. If the counter is unavailable, the amounts stay pending until the next call for the
    // slice.
    void flush(EventContext& context, const SliceKey& key);

private:
    void post(EventContext& context, const Tenant& tenant, const WindowSlice& slice, const CounterCall& call);
    void applyTotal(Tenant& tenant, WindowSlice& slice, const CounterCall& call, double total, TimePoint now);
    double lostCost(const QuotaPlan& plan, const CounterCall& call, double total) const;
    void readClosedSlice(EventContext& context, Tenant& tenant, const CounterCall& call, Request& request,
                         const CounterReplied& reply);
    bool shouldReadClosedSlice(const Tenant& tenant, const WindowSlice& closed, TimePoint now) const;
    void carryDebt(EventContext& context, Tenant& tenant, const WindowSlice& closed);
    UnconfirmedCost estimateUnconfirmedCost(const Tenant& tenant, double cost) const;
    void scheduleFlush(EventContext& context, const Tenant& tenant, WindowSlice& slice);
    bool shouldSamplePendingCharge(const Tenant& tenant, const WindowSlice& slice) const;
    bool samplePendingCharge(EventContext& context, WindowSlice& slice);

    const Settings& settings_;
    const UsageEstimator& estimator_;
    QuotaWindow& window_;
    CeilingBucket& ceiling_;
    CounterSampler& sampler_;
    TenantTable& tenants_;
    RequestTable& requests_;
};

}  // namespace gateway
