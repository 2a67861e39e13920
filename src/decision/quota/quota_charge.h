// What a request charged to its tenant's quota.
#pragma once

#include "decision/quota/slice_schedule.h"

namespace gateway {

// What a request charged to its tenant's quota.
struct QuotaCharge {
    SliceIndex sliceIndex{};
    double amount = 0;       // what its add charges: its cost, or more where it stands for unsampled requests
    bool posted = false;     // it is, or may be, on the counter
    bool confirmed = false;  // the counter replied to it
    bool coveredBySamples = false;  // unsampled: the adds of other requests stand for it
    bool fromCeiling = false;       // its cost was drawn from the ceiling's bucket
    int pendingReplies = 0;         // of the counter, that its decision waits for
};

}  // namespace gateway
