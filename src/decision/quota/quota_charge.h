// What one request has charged to its tenant's quota.
#pragma once

#include "decision/quota/slice_schedule.h"

namespace gateway {

// Kept with the request while it is in flight. QuotaAdmission and CounterLedger change it; the engine counts
// `pendingReplies` down.
struct QuotaCharge {
    SliceIndex sliceIndex{};        // the slice that is charged
    double amount = 0;              // cost posted for it: its own cost times its sample weight
    bool posted = false;            // the counter includes the charge, or may include it
    bool confirmed = false;         // the counter replied with a total that includes the charge
    bool coveredBySamples = false;  // not sampled: the sample weights of other requests cover its cost
    bool drawnFromCeiling = false;  // its cost was drawn from the tenant's part of the ceiling
    int pendingReplies = 0;         // replies of the counter that the decision waits for
};

}  // namespace gateway
