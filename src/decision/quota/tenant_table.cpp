#include "decision/quota/tenant_table.h"

#include <algorithm>

#include "decision/quota/slice_schedule.h"

namespace gateway {
namespace {

constexpr int kTouchesPerSweep = 5000;
constexpr int kMaxTenantsExaminedForEviction = 64;
constexpr Duration kIdleTimeout =
    2 * kMaxCounterNameLifetime;  // the names of the tenant's slices have expired on the counter by then

bool isEvictable(const Tenant& tenant, TimePoint now) {
    if (tenant.inFlight > 0 || tenant.ceiling.refilledAt != TimePoint{}) return false;
    if (now - tenant.lastRequestAt > kMaxCounterNameLifetime) return true;  // its slices have left the window
    return std::none_of(tenant.slices.begin(), tenant.slices.end(), [](const WindowSlice& slice) {
        return slice.hasCallInFlight() || slice.hasPendingAmounts();
    });
}

}  // namespace

bool TenantTable::makeRoomFor(TenantId id, TimePoint now) {
    return tenants_.size() < maxTenants_ || tenants_.contains(id) || evictLeastRecent(now);
}

bool TenantTable::evictLeastRecent(TimePoint now) {
    int examined = 0;
    for (auto id = recency_.begin(); id != recency_.end() && examined < kMaxTenantsExaminedForEviction;
         ++id) {
        ++examined;
        const auto found = tenants_.find(*id);
        if (!isEvictable(found->second.tenant, now)) continue;
        recency_.erase(id);
        tenants_.erase(found);
        return true;
    }
    return false;
}

Tenant& TenantTable::touch(const RequestArrived& arrival, TimePoint now) {
    const auto [found, added] = tenants_.try_emplace(arrival.tenant);
    Entry& entry = found->second;
    if (added) entry.position = recency_.insert(recency_.end(), arrival.tenant);
    recency_.splice(recency_.end(), recency_, entry.position);
    Tenant& tenant = entry.tenant;
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
    return found == tenants_.end() ? nullptr : &found->second.tenant;
}

void TenantTable::evictIdle(TimePoint now) {
    touchesSinceSweep_ = 0;
    std::erase_if(tenants_, [&](const auto& entry) {
        const Tenant& tenant = entry.second.tenant;
        const bool isIdle = tenant.inFlight == 0 && now - tenant.lastRequestAt > kIdleTimeout;
        if (isIdle) recency_.erase(entry.second.position);
        return isIdle;
    });
}

}  // namespace gateway
