// One gateway's view of one slice of a tenant's sliding window, with the calls to the counter service that
// are in flight for it.
//
// The counter service keeps the slice's total across all gateways. A WindowSlice keeps the last reported
// total, an estimate of the cost admitted since that report, and the amounts that this gateway has posted or
// has yet to post. It makes no admission decisions. All amounts are costs in the plan's cost unit.
#pragma once

#include <vector>

#include "decision/engine/request_key.h"
#include "decision/quota/quota_charge.h"
#include "decision/quota/slice_schedule.h"
#include "gateway/types.h"

namespace gateway {

// The decision on a request whose charge is in flight to the counter.
enum class Admission { pending, admitted, rejected };

// A call in flight that adds to a slice's total on the counter service. Only its WindowSlice changes it.
class CounterCall {
public:
    // The request whose charge the call posts; none for a flush or a read.
    RequestKey request() const { return request_; }
    // The request that waits for the slice's total without charging the slice; none unless the call is a
    // read.
    RequestKey reader() const { return reader_; }
    // The charge of request().
    double charge() const { return charge_; }
    // The cost that the call adds on the counter: charge(), plus the pending charge and less the pending
    // refund that the slice had when the call began.
    double amount() const { return amount_; }
    // The decision on request(); pending if the request still waits for the reply.
    Admission admission() const { return admission_; }
    // The part of that pending charge that was admitted without a reply.
    double carriedUnconfirmedCost() const { return carriedUnconfirmedCost_; }
    // carriedUnconfirmedCost() and, if request() was admitted before the reply, its cost.
    double unconfirmedCost() const { return unconfirmedCost_; }
    // The slice's posted() immediately after this call began. Calls rolled back and counts reported lost
    // since then are subtracted.
    double cumulativePosted() const { return cumulativePosted_; }

private:
    friend class WindowSlice;

    RequestKey request_ = RequestKey::none;
    RequestKey reader_ = RequestKey::none;
    double charge_ = 0;
    double amount_ = 0;
    Admission admission_ = Admission::pending;
    double carriedCharge_ = 0;     // pending charge that this call posts
    double carriedRefund_ = 0;     // pending refunds that this call posts
    double cumulativeRefund_ = 0;  // all refunds posted under the slice's name, up to and including this call
    double carriedUnconfirmedCost_ = 0;
    double unconfirmedCost_ = 0;
    double cumulativePosted_ = 0;
};

// A slice's total as a counter reply reports it.
struct CounterTotal {
    double sum = 0;   // across all gateways
    double lost = 0;  // posted by this gateway and missing from `sum`; 0 unless the counter lost counts
    double estimatedRemote = 0;  // admitted by the other gateways and not yet included in `sum`
    TimePoint reportedAt{};
};

// Cost that was admitted without a counter reply: by this gateway, and meanwhile by the others.
struct UnconfirmedCost {
    double local = 0;
    double estimatedRemote = 0;
};

// The debt with which a slice opens.
struct OpeningDebt {
    double inTotal = 0;     // debt of the preceding slice's known total
    double sinceTotal = 0;  // further debt from cost that this total does not include yet
};

// Invariants that hold after every public function:
//
// Cost is pending, in flight or on the counter. posted() + pendingCharge() - pendingRefund() changes only by
// the charge of a request, a refund, a reconciliation, carried debt or the sampling of a pending charge. A
// call that begins, a call that is rolled back and a reported loss only move cost between the three terms.
//
// refunds() == pendingRefund() + postedRefund().
//
// Calls end in the order in which they began. The newest call in flight has cumulativePosted() == posted().
class WindowSlice {
public:
    // `debt`: the debt of the preceding slice, as far as it is known or estimated.
    explicit WindowSlice(SliceIndex index, const OpeningDebt& debt = {})
        : index_(index), total_(debt.inTotal), admittedSinceTotal_(debt.sinceTotal) {}

    SliceIndex index() const { return index_; }

    // ---- Usage across all gateways ----

    // The last reported total, plus the cost that the counter lost and the carried debt, less this gateway's
    // refunds that the reported total does not include. Before the first report: the opening debt.
    double total() const { return total_; }
    // Whether the counter has reported a total.
    bool hasTotal() const { return hasTotal_; }
    // When the counter last reported a total.
    TimePoint totalReportedAt() const { return totalReportedAt_; }
    // Cost that this gateway knows of and total() does not include yet: admitted cost, reconciliations and
    // debt of the preceding slice, part of which may be estimated.
    double admittedSinceTotal() const { return admittedSinceTotal_; }
    // Estimated cost that the other gateways admitted and total() does not include yet.
    double remoteSinceTotal() const { return remoteSinceTotal_; }
    // All cost that this gateway admitted.
    double localAdmitted() const { return localAdmitted_; }
    // Unused quota beyond the burst that has expired.
    double expiredQuota() const { return expiredQuota_; }

    // Raises expiredQuota() to `cost` unless it is higher already. Has no effect before the first reported
    // total.
    void expireQuota(double cost);

    // ---- Posted and pending amounts ----

    // Admitted, reconciled or carried cost that the next call posts.
    double pendingCharge() const { return pendingCharge_; }
    // The part of pendingCharge() that was admitted without a counter reply.
    double pendingUnconfirmedCost() const { return pendingUnconfirmedCost_; }
    // Refunds that the next call posts.
    double pendingRefund() const { return pendingRefund_; }
    // All refunds: pending, in flight or on the counter.
    double refunds() const { return refunds_; }
    // The part of refunds() that is in flight or on the counter.
    double postedRefund() const { return postedRefund_; }
    // All cost in flight or on the counter, less the posted refunds.
    double posted() const { return posted_; }
    bool hasPendingAmounts() const { return pendingCharge_ != 0 || pendingRefund_ != 0; }
    // Whether any call has posted the charge of a request to this slice.
    bool hasChargeCalls() const { return hasChargeCalls_; }
    bool hasCallInFlight() const { return !calls_.empty(); }

    // Each of these functions adds a call in flight that carries all pending amounts. The reference is valid
    // until the slice is next modified.
    const CounterCall& beginChargeCall(RequestKey request, double charge);
    const CounterCall& beginReadCall(RequestKey reader);
    const CounterCall& beginFlushCall();

    // Removes and returns the oldest call in flight. Precondition: hasCallInFlight().
    CounterCall endOldestCall();

    // Reverses an ended call that the counter did not count: the amounts that it carried become pending
    // again. The charge of its request becomes pending if the request was admitted, and is no longer refunded
    // if the request was rejected.
    void rollBack(const CounterCall& call);

    // Applies the total that the counter reported in reply to the ended `call`. Lost cost becomes pending
    // again.
    void applyTotal(const CounterCall& call, const CounterTotal& reported);

    // ---- Requests ----

    // Records that a request with that charge was admitted at `cost`. The cost becomes pending,
    // unless a call that is in flight or counted posts the request's charge, or the weighted charges of
    // sampled requests cover it.
    void recordAdmitted(RequestKey request, const QuotaCharge& charge, double cost);

    // Adds cost that was admitted without a counter reply; negative amounts subtract it again.
    void addUnconfirmedCost(const UnconfirmedCost& cost);

    // Refunds the charge of a rejected request. Returns false, and changes nothing, if no call has posted it.
    bool refundRejected(RequestKey request, const QuotaCharge& charge);

    // Refunds the charge of a request that was admitted at `cost` and reached no endpoint.
    void refundAdmitted(const QuotaCharge& charge, double cost);

    // Adds `difference`, the actual cost of an admitted request less its charge; negative for a refund.
    void reconcile(double difference);

    // ---- Debt and flushes ----

    bool hasCarriedDebt() const { return hasCarriedDebt_; }

    // Carries the debt of the preceding slice forward into this one. Precondition: !hasCarriedDebt().
    void carryDebt(double debt);

    // These two functions sample the pending charge: it is dropped, or weighted by 1 / `probability`.
    void dropPendingCharge() { pendingCharge_ = 0; }
    void weightPendingCharge(double probability) { pendingCharge_ /= probability; }

    // Whether the slice waits for a timer that flushes the pending amounts. A flush for another reason ends
    // the wait, although the timer keeps running.
    bool isFlushScheduled() const { return isFlushScheduled_; }
    void setFlushScheduled(bool scheduled) { isFlushScheduled_ = scheduled; }

private:
    const CounterCall& beginCall(CounterCall call);
    CounterCall* findCall(RequestKey request);
    void addRefund(const QuotaCharge& charge);

    SliceIndex index_;
    double total_ = 0;
    double admittedSinceTotal_ = 0;
    double remoteSinceTotal_ = 0;
    TimePoint totalReportedAt_{};
    double localAdmitted_ = 0;
    double expiredQuota_ = 0;
    bool hasTotal_ = false;
    bool hasCarriedDebt_ = false;
    bool hasChargeCalls_ = false;
    bool isFlushScheduled_ = false;
    double pendingCharge_ = 0;
    double pendingRefund_ = 0;
    double pendingUnconfirmedCost_ = 0;
    double refunds_ = 0;
    double postedRefund_ = 0;
    double posted_ = 0;
    std::vector<CounterCall> calls_;  // in flight, oldest first
};

}  // namespace gateway
