#include "decision/quota/tenant_table.h"

#include <algorithm>

#include "decision/quota/slice_schedule.h"

namespace gateway {
namespace {

constexpr int kTouchesPerSweep = 5000;
constexpr Duration kForgetAfter = 2 * kMaxCounterNameLifetime;  // without a request
constexpr double kInitialMeteredUse = 0.9;                      // before the meter reported

}  // namespace

Tenant& TenantTable::touch(const RequestArrived& arrival, TimePoint now) {
    const auto [found, added] = tenants_.try_emplace(arrival.tenant);
    Tenant& tenant = found->second;
    if (!added && tenant.plan != arrival.plan) {  // another plan's slices have another length and numbers
        const int inFlight = tenant.inFlight;
        tenant = Tenant{};
        tenant.inFlight = inFlight;
    }
    if (tenant.usedAt == TimePoint{}) tenant.usage.meteredUse = kInitialMeteredUse;
    tenant.id = arrival.tenant;
    tenant.plan = arrival.plan;
    tenant.entryPoints = std::max(1, arrival.entryPoints);
    tenant.usedAt = now;
    if (++touchesSinceSweep_ > kTouchesPerSweep) forgetIdle(now);
    return tenant;
}

void TenantTable::forgetIdle(TimePoint now) {
    touchesSinceSweep_ = 0;
    std::erase_if(tenants_, [&](const auto& entry) {
        const Tenant& tenant = entry.second;
        return tenant.inFlight == 0 && now - tenant.usedAt > kForgetAfter;
    });
}

}  // namespace gateway
