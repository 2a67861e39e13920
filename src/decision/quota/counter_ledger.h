// What this gateway posts to the counter: charges, refunds and reconciliations of tenants' window slices.
//
// Refunds and reconciliations ride on the next add to their slice, or go out by themselves soon after.
// Reconciliation is the post-request weight correction of the thesis: the true cost less the charge.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "decision/engine/event_context.h"
#include "decision/engine/request_table.h"
#include "decision/quota/ceiling_bucket.h"
#include "decision/quota/counter_sampler.h"
#include "decision/quota/quota_window.h"
#include "decision/quota/slice_key.h"
#include "decision/quota/tenant_table.h"

namespace gateway {

class CounterLedger {
public:
    // What a reply of the counter brought.
    struct ReplyResult {
        RequestKey charged = RequestKey::none;  // whose charge it answers and who still waits
        std::vector<RequestKey> readers;        // requests that waited for the slice's sum only
        bool ok = false;                        // it reported a sum
        TenantId tenant{};
        // Where the slice stood in Tenant::slices when the reply came; nothing where it is not known. If
        // dealing with the requests opens a new slice, another one stands there in afterReply(): see "Known
        // faults" in docs/design.md.
        std::optional<std::size_t> slicePosition;
    };

    struct Parts {
        const Settings& settings;
        const UsageEstimator& usage;
        const QuotaWindow& window;
        const CeilingBucket& ceiling;
        CounterSampler& sampler;
        TenantTable& tenants;
        RequestTable& requests;
    };

    // All parts must outlive the ledger.
    explicit CounterLedger(const Parts& parts) : parts_(parts) {}

    // Adds the request's charge to the slice, with what is pending there.
    void postCharge(EventContext& context, Tenant& tenant, WindowSlice& slice, Request& request) const;

    // Takes in a reply. Where it came for requests, each has one reply less to wait for.
    ReplyResult onReply(EventContext& context, const CounterReplied& reply) const;

    // To be called when the requests of the result were dealt with: what is pending goes out soon.
    void afterReply(EventContext& context, const ReplyResult& result) const;

    // An admitted request's charge is booked. `unconfirmed`: without a reply that covers it.
    void bookAdmitted(const Tenant& tenant, WindowSlice& slice, const Request& request,
                      bool unconfirmed) const;

    // A rejected request's charge must not fill the window: it goes back at once, as others read the slice
    // soon. `slice` may be null.
    void refundRejected(EventContext& context, const Request& request, WindowSlice* slice) const;

    // A request that was charged but reached no endpoint draws nothing from the quota.
    void refundUnsent(EventContext& context, const Request& request) const;

    // The request's true cost is `difference` more than its charge: carried as debt, or as refund if
    // negative.
    void reconcile(EventContext& context, Tenant& tenant, const Request& request, double difference) const;

    // Posts what is pending on the slice, unless the counter can't take it now.
    void flush(EventContext& context, const SliceKey& key) const;

private:
    CounterCall& post(EventContext& context, const Tenant& tenant, WindowSlice& slice,
                      CounterCall call) const;
    void applyTotal(EventContext& context, Tenant& tenant, WindowSlice& slice, const CounterCall& call,
                    double total) const;
    double lostCost(const QuotaPlan& plan, const CounterCall& call, double total) const;
    void confirmCharge(EventContext& context, Tenant& tenant, const CounterCall& call, Request& request,
                       const CounterReplied& reply, SliceIndex sliceIndex) const;
    bool mayCarryDebt(const Tenant& tenant, const WindowSlice& closed, TimePoint now) const;
    void carryDebt(EventContext& context, Tenant& tenant, const WindowSlice& closed) const;
    void scheduleFlush(EventContext& context, const Tenant& tenant, WindowSlice& slice) const;
    bool isDroppedBySampling(EventContext& context, const Tenant& tenant, WindowSlice& slice) const;

    Parts parts_;
};

}  // namespace gateway
