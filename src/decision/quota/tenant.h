// What one gateway keeps of one tenant.
#pragma once

#include <vector>

#include "decision/quota/slice_schedule.h"
#include "decision/quota/tenant_usage.h"
#include "decision/quota/window_slice.h"
#include "gateway/types.h"

namespace gateway {

// A gateway's part of what a plan's ceiling allows beyond the quota, as a token bucket. CeilingBucket changes
// it.
struct CeilingTokens {
    double tokens = 0;
    double share = 1;      // of the ceiling, as of the last fill
    TimePoint filledAt{};  // the epoch if never
};

// State alone; the other parts of the quota module decide on it.
struct Tenant {
    TenantId id{};
    QuotaPlanIndex plan{};
    int entryPoints = 1;              // gateways through which its requests may arrive; at least 1
    int inFlight = 0;                 // attempts of this gateway
    std::vector<WindowSlice> slices;  // the previous one and the current one; empty before the first charge
    TenantUsage usage;
    CeilingTokens ceiling;
    TimePoint rejectedAt{};  // when a total of the counter last left no quota; the epoch if none did
    TimePoint usedAt{};      // when its latest request was handled
};

// The tenant's slice with that index; null if it is not in the window. The pointer is valid until the next
// QuotaWindow::advance of the tenant.
WindowSlice* findSlice(Tenant& tenant, SliceIndex index);

}  // namespace gateway
