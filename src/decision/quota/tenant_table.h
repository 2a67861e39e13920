// The tenants whose requests came here lately.
#pragma once

#include <unordered_map>

#include "decision/quota/tenant.h"
#include "gateway/events.h"

namespace gateway {

class TenantTable {
public:
    // The tenant of a request that is handled now.
    Tenant& touch(const RequestArrived& arrival, TimePoint now);

    // Null where none of that tenant's requests came lately.
    Tenant* find(TenantId id) {
        const auto found = tenants_.find(id);
        return found == tenants_.end() ? nullptr : &found->second;
    }

private:
    void forgetIdle(TimePoint now);

    std::unordered_map<TenantId, Tenant> tenants_;
    int touchesSinceSweep_ = 0;
};

}  // namespace gateway
