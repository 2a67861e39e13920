// The charge of one request to its tenant's quota.
#pragma once

#include "decision/quota/slice_schedule.h"

namespace gateway {

// Kept with the request while it is in flight. QuotaAdmission and CounterLedger update it; RequestLifecycle
// decrements `pendingReplies`.
struct QuotaCharge {
    SliceIndex sliceIndex{};             // the slice that is charged
    double amount = 0;                   // cost to post: the request's cost times its sample weight
    bool counted = false;                // the counter includes the charge, or is assumed to
    bool confirmed = false;              // the counter replied with a total that includes the charge
    bool coveredBySamples = false;       // not sampled: the sample weights of other requests cover its cost
    bool consumedCeilingTokens = false;  // refunded if the request reaches no endpoint
    int pendingReplies = 0;              // counter replies that the admission decision still waits for
};

}  // namespace gateway
