// The tenants whose requests arrived here recently.
#pragma once

#include <unordered_map>

#include "decision/quota/tenant.h"
#include "gateway/events.h"

namespace gateway {

// Owns the tenants. References stay valid until the tenant is forgotten, which happens only within touch().
class TenantTable {
public:
    // The tenant of a request that is handled at `now`, added if it is new. A tenant that arrives under
    // another plan starts with new state, as the slices of plans differ in length. Forgets tenants that are
    // idle for long.
    Tenant& touch(const RequestArrived& arrival, TimePoint now);

    // Null if no request of that tenant arrived recently.
    Tenant* find(TenantId id);

private:
    void forgetIdle(TimePoint now);

    std::unordered_map<TenantId, Tenant> tenants_;
    int touchesSinceSweep_ = 0;
};

}  // namespace gateway
