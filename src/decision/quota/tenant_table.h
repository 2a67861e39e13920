// The tenants whose requests arrived at this gateway recently.
#pragma once

#include <cstddef>
#include <limits>
#include <list>
#include <unordered_map>

#include "decision/quota/tenant.h"
#include "gateway/events.h"

namespace gateway {

// Owns the tenants. A reference to a tenant stays valid until touch() or makeRoomFor() evicts the tenant.
class TenantTable {
public:
    explicit TenantTable(std::size_t maxTenants = std::numeric_limits<std::size_t>::max())
        : maxTenants_(maxTenants) {}

    // Returns whether the table has, or has room for, this tenant. At the limit, evicts the tenant whose
    // requests arrived longest ago, unless its state is needed: it has attempts or counter calls in flight,
    // amounts of its window that were not posted, or consumed ceiling tokens.
    bool makeRoomFor(TenantId id, TimePoint now);

    // Returns the tenant of a request that is handled at `now`, and adds the tenant if it is new. If the
    // request names another plan than the tenant's previous request, the tenant's state is reset, because the
    // slices of different plans differ in length. Evicts tenants that have been idle for long.
    Tenant& touch(const RequestArrived& arrival, TimePoint now);

    // Returns null if no request of that tenant arrived recently.
    Tenant* find(TenantId id);

private:
    struct Entry {
        Tenant tenant;
        std::list<TenantId>::iterator position;  // in recency_
    };

    void evictIdle(TimePoint now);
    bool evictLeastRecent(TimePoint now);

    std::size_t maxTenants_;
    std::unordered_map<TenantId, Entry> tenants_;
    std::list<TenantId> recency_;  // the tenant of the latest request at the back
    int touchesSinceSweep_ = 0;
};

}  // namespace gateway
