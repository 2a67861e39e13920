// The tenants whose requests arrived at this gateway recently.
#pragma once

#include <unordered_map>

#include "decision/quota/tenant.h"
#include "gateway/events.h"

namespace gateway {

// Owns the tenants. A reference to a tenant stays valid until touch() evicts the tenant.
class TenantTable {
public:
    // Returns the tenant of a request that is handled at `now`, and adds the tenant if it is new. If the
    // request names another plan than the tenant's previous request, the tenant's state is reset, because the
    // slices of different plans differ in length. Evicts tenants that have been idle for long.
    Tenant& touch(const RequestArrived& arrival, TimePoint now);

    // Returns null if no request of that tenant arrived recently.
    Tenant* find(TenantId id);

private:
    void evictIdle(TimePoint now);

    std::unordered_map<TenantId, Tenant> tenants_;
    int touchesSinceSweep_ = 0;
};

}  // namespace gateway
