// What a gateway keeps of one tenant. State alone; nothing is decided here.
#pragma once

#include <vector>

#include "decision/quota/window_slice.h"
#include "gateway/types.h"

namespace gateway {

// What is known of a tenant's use of its quota.
struct TenantUsage {
    double ownSeen = 0;     // cost admitted here in closed slices, fading
    double totalSeen = 0;   // the same over all gateways
    double demand = 0;      // cost a second that is asked for here
    TimePoint demandAt{};   // when that was last updated
    TimePoint totalAt{};    // when the counter last reported a sum
    double meteredUse = 1;  // share of its quota in all, by the meter and the counter's rejections
};

// A gateway's part of what a plan's ceiling allows beyond the quota, as a token bucket.
struct CeilingTokens {
    double tokens = 0;
    double share = 1;      // of the ceiling, as it was last filled
    TimePoint filledAt{};  // 0: never
};

struct Tenant {
    TenantId id{};
    QuotaPlanIndex plan{};
    int entryPoints = 1;              // gateways through which its requests may come
    int inFlight = 0;                 // own attempts
    std::vector<WindowSlice> slices;  // the closed one and the current one
    TenantUsage usage;
    CeilingTokens ceiling;
    TimePoint rejectedAt{};  // when the counter's sum last left no room
    TimePoint usedAt{};      // by its latest request
};

}  // namespace gateway
