// One slice of a tenant's sliding window, and its adds to the counter in flight.
//
// Bookkeeping alone; nothing is decided here. All amounts are costs in the plan's unit.
#pragma once

#include <deque>
#include <vector>

#include "decision/engine/request_key.h"
#include "decision/quota/slice_schedule.h"
#include "gateway/types.h"

namespace gateway {

// What was decided on a request's charge before the counter replied to it.
enum class Admission { pending, admitted, rejected };

// One add to a slice's name on the counter, in flight.
struct CounterCall {
    RequestKey request = RequestKey::none;  // whose charge it carries; or none's
    double charge = 0;                      // for that request
    double amount = 0;                      // added in all
    Admission admission = Admission::pending;
    double carriedCharge = 0;         // admitted earlier and not posted then
    double carriedRefund = 0;         // of rejected requests
    double refundedSoFar = 0;         // on this name, up to and with this call
    double postedSoFar = 0;           // on this name, up to and with this call
    double carriedUnverified = 0;     // of `carriedCharge`, what was admitted without a reply
    double unverified = 0;            // the same, and what was admitted before this call's reply
    std::vector<RequestKey> readers;  // requests that wait for the slice's sum only
};

// The counter holds a slice's sum over all gateways; this is what one gateway knows and owes of it.
struct WindowSlice {
    SliceIndex index{};
    double total = 0;              // last known sum over all gateways, less own rejected cost
    double admittedSince = 0;      // admitted here since then
    double othersSince = 0;        // what the others admitted since then, by the observed share
    TimePoint repliedAt{};         // when the counter last reported its sum
    double ownAdmitted = 0;        // admitted here in all
    double forfeited = 0;          // room past the burst that was seen: it is lost
    bool hasTotal = false;         // the counter replied for it
    bool debtCarried = false;      // the closed slice's debt was added to it
    bool hasOwnCalls = false;      // this gateway charged a request to it by a call
    double pendingCharge = 0;      // to be carried by the next add
    double pendingRefund = 0;      // the same
    double pendingUnverified = 0;  // of `pendingCharge`, what was admitted without a reply
    double rejected = 0;           // own rejected cost, in all
    double refunded = 0;           // of that, what was posted as refund
    double posted = 0;             // on this name, in all
    bool flushScheduled = false;
    std::deque<CounterCall> calls;  // in flight, in the order of their replies

    bool hasPending() const { return pendingCharge != 0 || pendingRefund != 0; }

    // Puts a call in flight that carries its own charge and all that is pending. The reference holds until
    // the next call.
    CounterCall& beginCall(CounterCall call);

    // Notes what was decided on a request whose call is in flight; null if it is not.
    CounterCall* resolveCall(RequestKey request, Admission admission);

    // A call that is no longer in flight was not counted: all that it carried is pending again, and what was
    // decided on its request before is put right.
    void withdraw(const CounterCall& call);

    // Counts were lost on the counter: that much of what was posted is pending again.
    void repost(double lost);

    // The counter reported its sum in reply to `call`. Also sums up anew what was admitted and is in no sum
    // yet.
    void applyTotal(const CounterCall& call, double sum, TimePoint now);

    // A charge goes back with the next add; `inTotal` says that it is in `total`.
    void addRefund(double charge, bool inTotal);
};

}  // namespace gateway
