#include "decision/quota/ceiling_bucket.h"

#include <algorithm>

#include "decision/common/arithmetic.h"
#include "decision/quota/slice_schedule.h"

namespace gateway {
namespace {

// The longest time that a first refill covers. TenantTable evicts a tenant after this idle time.
constexpr Duration kMaxFirstRefillPeriod = 2 * kMaxCounterNameLifetime;

}  // namespace

bool CeilingBucket::tryConsume(Tenant& tenant, const QuotaPlan& plan, double cost, TimePoint now,
                               TimePoint startedAt) {
    refill(tenant, plan, now, startedAt);
    CeilingTokens& ceiling = tenant.ceiling;
    if (ceiling.tokens < cost) return false;
    ceiling.tokens -= cost;
    return true;
}

void CeilingBucket::refill(Tenant& tenant, const QuotaPlan& plan, TimePoint now, TimePoint startedAt) {
    CeilingTokens& ceiling = tenant.ceiling;
    const bool isFirstRefill = ceiling.refilledAt == TimePoint{};
    const TimePoint since =
        isFirstRefill ? std::max(startedAt, now - kMaxFirstRefillPeriod) : ceiling.refilledAt;
    const double share = 1.0 / tenant.entryPoints;
    const double rate = plan.ceilingRate - (settings_.counterEnabled ? plan.rate : 0);
    // If the number of entry points has changed, the smaller share applies to the time since the last refill:
    // the other gateways may have consumed the difference.
    const double added = toSeconds(now - since) * std::max(0.0, rate) * std::min(share, ceiling.share);
    ceiling.tokens = std::min(capacity(tenant, plan), ceiling.tokens + added);
    ceiling.share = share;
    ceiling.refilledAt = now;
}

void CeilingBucket::refundConfirmed(Tenant& tenant, const QuotaPlan& plan, double cost) {
    tenant.ceiling.tokens = std::min(capacity(tenant, plan), tenant.ceiling.tokens + cost);
}

void CeilingBucket::refundUnsent(Tenant& tenant, double cost) {
    tenant.ceiling.tokens += cost;
}

double CeilingBucket::capacity(const Tenant& tenant, const QuotaPlan& plan) const {
    if (!settings_.counterEnabled) return plan.ceilingBurst / tenant.entryPoints;
    return std::max((plan.ceilingBurst - plan.burst) / tenant.entryPoints, settings_.maxRequestCost);
}

}  // namespace gateway
