// One slice of a tenant's sliding window as one gateway sees it, with its calls to the counter service in
// flight.
//
// The counter service keeps the slice's total over all gateways. A WindowSlice keeps the last reported total,
// an estimate of what was admitted since that report, and what this gateway has posted or has yet to post. It
// decides nothing and does no I/O. All amounts are costs in the plan's cost unit.
#pragma once

#include <deque>

#include "decision/engine/request_key.h"
#include "decision/quota/quota_charge.h"
#include "decision/quota/slice_schedule.h"
#include "gateway/types.h"

namespace gateway {

// The decision on a request whose charge the counter has not yet replied to.
enum class Admission { pending, admitted, rejected };

// One add to a slice's name on the counter, in flight. Only its WindowSlice changes it.
class CounterCall {
public:
    // The request whose charge the call posts; none for a call that flushes or reads.
    RequestKey request() const { return request_; }
    // The request that waits for the slice's total without charging the slice; none for other calls.
    RequestKey reader() const { return reader_; }
    // The charge of request().
    double charge() const { return charge_; }
    // The cost that the call adds on the counter: charge(), plus the carried charge, less the carried refund.
    double amount() const { return amount_; }
    // The decision on request(), as far as it came before the reply.
    Admission admission() const { return admission_; }
    // Of the carried charge, the cost that was admitted without a reply.
    double carriedUnconfirmed() const { return carriedUnconfirmed_; }
    // carriedUnconfirmed() and, if request() was admitted before the reply, its cost.
    double unconfirmed() const { return unconfirmed_; }
    // All cost posted under the slice's name by this gateway, up to and including this call.
    double postedUpToHere() const { return postedUpToHere_; }

private:
    friend class WindowSlice;

    RequestKey request_ = RequestKey::none;
    RequestKey reader_ = RequestKey::none;
    double charge_ = 0;
    double amount_ = 0;
    Admission admission_ = Admission::pending;
    double carriedCharge_ = 0;     // admitted earlier and posted by this call
    double carriedRefund_ = 0;     // of requests rejected or not sent earlier
    double refundedUpToHere_ = 0;  // all refunds posted under the slice's name, up to and including this call
    double carriedUnconfirmed_ = 0;  // see carriedUnconfirmed()
    double unconfirmed_ = 0;         // see unconfirmed()
    double postedUpToHere_ = 0;      // see postedUpToHere()
};

// A slice's total as a reply of the counter reports it.
struct CounterTotal {
    double sum = 0;   // over all gateways
    double lost = 0;  // posted by this gateway and missing in `sum`; 0 unless the counter lost counts
    double estimatedRemote = 0;  // admitted by other gateways and not yet included in `sum`
    TimePoint reportedAt{};
};

// Cost admitted without a reply of the counter, here and, as estimated, at the other gateways meanwhile.
struct UnconfirmedCost {
    double local = 0;
    double estimatedRemote = 0;
};

// The debt of a slice's total, and of the cost that is not yet included in that total.
struct OpeningDebt {
    double inTotal = 0;
    double sinceTotal = 0;
};

// Invariants, between any two calls of its functions:
//
// Cost is pending, in flight or on the counter. posted() + pendingCharge() - pendingRefund() changes only by
// the charge of a request, a refund, a reconciliation, carried debt or the sampling of a pending charge. The
// begin of a call, the withdrawal of what it carried and a reported loss only move cost between the three
// terms.
//
// refunds() == pendingRefund() + postedRefund().
//
// Calls end in the order in which they began. The newest call in flight has postedUpToHere() == posted().
class WindowSlice {
public:
    // `debt`: what the slice before it leaves, as far as it is known when this slice opens.
    explicit WindowSlice(SliceIndex index, const OpeningDebt& debt = {})
        : index_(index), total_(debt.inTotal), admittedSinceTotal_(debt.sinceTotal) {}

    SliceIndex index() const { return index_; }

    // ---- The slice's use over all gateways ----

    // The last reported total plus carried debt, less refunds of this gateway that the total does not include
    // yet.
    double total() const { return total_; }
    // Whether the counter has reported a total.
    bool hasTotal() const { return hasTotal_; }
    // When the counter last reported a total.
    TimePoint totalReportedAt() const { return totalReportedAt_; }
    // Admitted here and not yet included in total().
    double admittedSinceTotal() const { return admittedSinceTotal_; }
    // Estimated remote usage that is not yet included in total().
    double remoteSinceTotal() const { return remoteSinceTotal_; }
    // Admitted here in all.
    double ownAdmitted() const { return ownAdmitted_; }
    // Capacity beyond the burst that was seen unused: it has expired.
    double expiredBurst() const { return expiredBurst_; }

    // Expires unused capacity up to `cost` in all. Has no effect before the first reported total.
    void expireBurst(double cost);

    // ---- What this gateway has posted and has yet to post ----

    // Admitted, reconciled or carried cost that the next call posts.
    double pendingCharge() const { return pendingCharge_; }
    // Of pendingCharge(), the cost that was admitted without a reply of the counter.
    double pendingUnconfirmed() const { return pendingUnconfirmed_; }
    // Refunds that the next call posts.
    double pendingRefund() const { return pendingRefund_; }
    // All refunds: pending, in flight or on the counter.
    double refunds() const { return refunds_; }
    // Of refunds(), those in flight or on the counter.
    double postedRefund() const { return postedRefund_; }
    // All cost in flight or on the counter, less the posted refunds.
    double posted() const { return posted_; }
    bool hasPending() const { return pendingCharge_ != 0 || pendingRefund_ != 0; }
    // Whether a call has posted the charge of a request to this slice.
    bool hasChargeCalls() const { return hasChargeCalls_; }
    bool hasCallInFlight() const { return !calls_.empty(); }

    // Each puts a call in flight that carries all that is pending. The reference is valid until the next
    // change of the slice.
    const CounterCall& beginChargeCall(RequestKey request, double charge);
    const CounterCall& beginReadCall(RequestKey reader);
    const CounterCall& beginFlushCall();

    // Takes the oldest call out of flight. Precondition: hasCallInFlight().
    CounterCall endOldestCall();

    // Reverses an ended call that the counter did not count: what it carried is pending again. The charge of
    // an admitted request becomes pending; that of a rejected one needs no refund any more.
    void withdraw(const CounterCall& call);

    // Takes in the total that the counter reported in reply to the ended `call`. Lost cost is pending again.
    void applyTotal(const CounterCall& call, const CounterTotal& reported);

    // ---- Requests ----

    // A request with that charge was admitted at `cost`. The cost becomes pending unless a call of the
    // request or the calls of sampled requests post it.
    void recordAdmitted(RequestKey request, const QuotaCharge& charge, double cost);

    // Adds cost that was admitted without a reply; negative amounts take it back.
    void addUnconfirmed(const UnconfirmedCost& cost);

    // Refunds the charge of a rejected request. Returns false, and changes nothing, if no call has posted it.
    bool refundRejected(RequestKey request, const QuotaCharge& charge);

    // Refunds the charge of a request that was admitted at `cost` and reached no endpoint.
    void refundAdmitted(const QuotaCharge& charge, double cost);

    // Adds an admitted request's actual cost less its charge; negative for a refund.
    void reconcile(double difference);

    // ---- Debt and flushes ----

    bool hasCarriedDebt() const { return hasCarriedDebt_; }

    // Carries the debt of the preceding slice forward into this one, once. Precondition: !hasCarriedDebt().
    void carryDebt(double debt);

    // Replaces the pending charge by a sample of it: dropped, or weighted by 1 / `probability`.
    void dropPendingCharge() { pendingCharge_ = 0; }
    void weightPendingCharge(double probability) { pendingCharge_ /= probability; }

    // Whether a timer is set that flushes what is pending.
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
    double ownAdmitted_ = 0;
    double expiredBurst_ = 0;
    bool hasTotal_ = false;
    bool hasCarriedDebt_ = false;
    bool hasChargeCalls_ = false;
    bool isFlushScheduled_ = false;
    double pendingCharge_ = 0;
    double pendingRefund_ = 0;
    double pendingUnconfirmed_ = 0;
    double refunds_ = 0;
    double postedRefund_ = 0;
    double posted_ = 0;
    std::deque<CounterCall> calls_;  // in flight, oldest first
};

}  // namespace gateway
