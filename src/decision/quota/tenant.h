// The state that one gateway keeps for one tenant.
#pragma once

#include <vector>

#include "decision/quota/slice_schedule.h"
#include "decision/quota/tenant_usage.h"
#include "decision/quota/window_slice.h"
#include "gateway/types.h"

namespace gateway {

// The state of a token bucket: this gateway's share of the difference between a plan's ceiling and its quota,
// or, without a counter, of the ceiling. CeilingBucket updates it.
struct CeilingTokens {
    double tokens = 0;
    double share = 1;        // this gateway's share of the ceiling at the last refill
    TimePoint refilledAt{};  // time of the last refill; the epoch before the first
};

// Holds data only; the other classes of the quota module update it.
struct Tenant {
    TenantId id{};
    QuotaPlanIndex plan{};
    int entryPoints = 1;              // gateways at which its requests may arrive; at least 1
    int inFlight = 0;                 // attempts in flight from this gateway
    std::vector<WindowSlice> slices;  // the previous and the current one; empty before the first charge
    TenantUsage usage;
    CeilingTokens ceiling;
    TimePoint exhaustedAt{};  // when a counter reply left no quota; the epoch if the latest one left some
    TimePoint lastRequestAt{};
};

// Returns the tenant's slice with that index, or null if the window does not contain it. The pointer is valid
// until QuotaWindow::advance is next called for the tenant.
WindowSlice* findSlice(Tenant& tenant, SliceIndex index);

}  // namespace gateway
