#include "decision/quota/window_slice.h"

#include <utility>

namespace gateway {

CounterCall& WindowSlice::beginCall(CounterCall call) {
    call.carriedCharge = std::exchange(pendingCharge, 0);
    call.carriedRefund = std::exchange(pendingRefund, 0);
    call.carriedUnverified = std::exchange(pendingUnverified, 0);
    call.unverified = call.carriedUnverified;
    call.amount = call.charge + call.carriedCharge - call.carriedRefund;
    refunded += call.carriedRefund;
    posted += call.amount;
    call.refundedSoFar = refunded;
    call.postedSoFar = posted;
    return calls.emplace_back(std::move(call));
}

CounterCall* WindowSlice::resolveCall(RequestKey request, Admission admission) {
    for (CounterCall& call : calls) {
        if (call.request != request) continue;
        call.admission = admission;
        return &call;
    }
    return nullptr;
}

void WindowSlice::withdraw(const CounterCall& call) {
    posted -= call.amount;
    pendingCharge += call.carriedCharge;
    pendingRefund += call.carriedRefund;
    refunded -= call.carriedRefund;
    for (CounterCall& later : calls) {
        later.postedSoFar -= call.amount;
        later.refundedSoFar -= call.carriedRefund;
    }
    // Decided before the reply, the charge was booked as counted.
    if (call.admission == Admission::admitted) pendingCharge += call.charge;
    if (call.admission == Admission::rejected) {
        pendingRefund -= call.charge;
        rejected -= call.charge;
    }
}

void WindowSlice::repost(double lost) {
    pendingCharge += lost;
    posted -= lost;
    for (CounterCall& later : calls) later.postedSoFar -= lost;
}

void WindowSlice::applyTotal(const CounterCall& call, double sum, TimePoint now) {
    admittedSince = pendingCharge;
    for (const CounterCall& later : calls) {
        admittedSince += later.carriedCharge;
        if (later.admission == Admission::admitted) admittedSince += later.charge;
    }
    total = sum - (rejected - call.refundedSoFar);
    hasTotal = true;
    repliedAt = now;
}

void WindowSlice::addRefund(double charge, bool inTotal) {
    pendingRefund += charge;
    rejected += charge;
    if (inTotal) total -= charge;
}

}  // namespace gateway
