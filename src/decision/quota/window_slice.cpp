#include "decision/quota/window_slice.h"

#include <algorithm>
#include <utility>

namespace gateway {

void WindowSlice::expireQuota(double cost) {
    if (hasTotal_) expiredQuota_ = std::max(expiredQuota_, cost);
}

const CounterCall& WindowSlice::beginChargeCall(RequestKey request, double charge) {
    hasChargeCalls_ = true;
    CounterCall call;
    call.request_ = request;
    call.charge_ = charge;
    return beginCall(call);
}

const CounterCall& WindowSlice::beginReadCall(RequestKey reader) {
    CounterCall call;
    call.reader_ = reader;
    return beginCall(call);
}

const CounterCall& WindowSlice::beginFlushCall() {
    return beginCall(CounterCall{});
}

const CounterCall& WindowSlice::beginCall(CounterCall call) {
    call.carriedCharge_ = std::exchange(pendingCharge_, 0);
    call.carriedRefund_ = std::exchange(pendingRefund_, 0);
    call.carriedUnconfirmedCost_ = std::exchange(pendingUnconfirmedCost_, 0);
    call.unconfirmedCost_ = call.carriedUnconfirmedCost_;
    call.amount_ = call.charge_ + call.carriedCharge_ - call.carriedRefund_;
    postedRefund_ += call.carriedRefund_;
    posted_ += call.amount_;
    call.cumulativeRefund_ = postedRefund_;
    call.cumulativePosted_ = posted_;
    return calls_.emplace_back(call);
}

CounterCall WindowSlice::endOldestCall() {
    const CounterCall call = calls_.front();
    calls_.erase(calls_.begin());
    return call;
}

CounterCall* WindowSlice::findCall(RequestKey request) {
    for (CounterCall& call : calls_)
        if (call.request_ == request) return &call;
    return nullptr;
}

void WindowSlice::rollBack(const CounterCall& call) {
    posted_ -= call.amount_;
    pendingCharge_ += call.carriedCharge_;
    pendingRefund_ += call.carriedRefund_;
    postedRefund_ -= call.carriedRefund_;
    for (CounterCall& later : calls_) {
        later.cumulativePosted_ -= call.amount_;
        later.cumulativeRefund_ -= call.carriedRefund_;
    }
    // A decision made before the reply assumed that the counter would include the charge.
    if (call.admission_ == Admission::admitted) pendingCharge_ += call.charge_;
    if (call.admission_ == Admission::rejected) {
        pendingRefund_ -= call.charge_;
        refunds_ -= call.charge_;
    }
}

void WindowSlice::applyTotal(const CounterCall& call, const CounterTotal& reported) {
    admittedSinceTotal_ = pendingCharge_;
    for (const CounterCall& later : calls_) {
        admittedSinceTotal_ += later.carriedCharge_;
        if (later.admission_ == Admission::admitted) admittedSinceTotal_ += later.charge_;
    }
    total_ = reported.sum + reported.lost - (refunds_ - call.cumulativeRefund_);
    hasTotal_ = true;
    totalReportedAt_ = reported.reportedAt;
    remoteSinceTotal_ = reported.estimatedRemote;
    // total_ already includes the lost cost, so the cost is pending but not part of admittedSinceTotal_.
    pendingCharge_ += reported.lost;
    posted_ -= reported.lost;
    for (CounterCall& later : calls_) later.cumulativePosted_ -= reported.lost;
}

void WindowSlice::recordAdmitted(RequestKey request, const QuotaCharge& charge, double cost) {
    localAdmitted_ += cost;
    CounterCall* call = findCall(request);
    if (call != nullptr) {
        call->admission_ = Admission::admitted;
        if (!charge.confirmed) call->unconfirmedCost_ += cost;
        return;
    }
    if (charge.counted || charge.coveredBySamples) return;
    pendingCharge_ += cost;
    if (!charge.confirmed) pendingUnconfirmedCost_ += cost;
}

void WindowSlice::addUnconfirmedCost(const UnconfirmedCost& cost) {
    admittedSinceTotal_ += cost.local;
    remoteSinceTotal_ += cost.estimatedRemote;
}

bool WindowSlice::refundRejected(RequestKey request, const QuotaCharge& charge) {
    CounterCall* call = findCall(request);
    if (call != nullptr) call->admission_ = Admission::rejected;
    if (call == nullptr && !charge.counted) return false;
    addRefund(charge);
    return true;
}

void WindowSlice::refundAdmitted(const QuotaCharge& charge, double cost) {
    localAdmitted_ -= cost;
    addRefund(charge);
    if (!charge.confirmed && !charge.counted)
        pendingUnconfirmedCost_ = std::max(0.0, pendingUnconfirmedCost_ - cost);
}

void WindowSlice::addRefund(const QuotaCharge& charge) {
    pendingRefund_ += charge.amount;
    refunds_ += charge.amount;
    if (charge.confirmed) total_ -= charge.amount;
}

void WindowSlice::reconcile(double difference) {
    localAdmitted_ += difference;
    pendingCharge_ += difference;
    admittedSinceTotal_ += difference;
}

void WindowSlice::carryDebt(double debt) {
    hasCarriedDebt_ = true;
    if (debt <= 0) return;
    total_ += debt;
    pendingCharge_ += debt;
}

}  // namespace gateway
