#include "decision/quota/tenant_table.h"

#include <algorithm>

#include "decision/quota/slice_schedule.h"

namespace gateway {
namespace {

constexpr int kTouchesPerSweep = 5000;
constexpr Duration kIdleTimeout =
    2 * kMaxCounterNameLifetime;  // the names of the tenant's slices have expired on the counter by then

}  // namespace

Tenant& TenantTable::touch(const RequestArrived& arrival, TimePoint now) {
    const auto [found, added] = tenants_.try_emplace(arrival.tenant);
    Tenant& tenant = found->second;
    if (!added && tenant.plan != arrival.plan) {
        const int inFlight = tenant.inFlight;
        tenant = Tenant{};
        tenant.inFlight = inFlight;
    }
    if (tenant.lastRequestAt == TimePoint{}) tenant.usage.assumeInitialUtilization();
    tenant.id = arrival.tenant;
    tenant.plan = arrival.plan;
    tenant.entryPoints = std::max(1, arrival.entryPoints);
    tenant.lastRequestAt = now;
    ++touchesSinceSweep_;
    if (touchesSinceSweep_ > kTouchesPerSweep) evictIdle(now);
    return tenant;
}

Tenant* TenantTable::find(TenantId id) {
    const auto found = tenants_.find(id);
    return found == tenants_.end() ? nullptr : &found->second;
}

void TenantTable::evictIdle(TimePoint now) {
    touchesSinceSweep_ = 0;
    std::erase_if(tenants_, [&](const auto& entry) {
        const Tenant& tenant = entry.second;
        return tenant.inFlight == 0 && now - tenant.lastRequestAt > kIdleTimeout;
    });
}

}  // namespace gateway
