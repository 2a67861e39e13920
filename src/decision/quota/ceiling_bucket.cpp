#include "decision/quota/ceiling_bucket.h"

#include <algorithm>

#include "decision/common/arithmetic.h"
#include "decision/quota/slice_schedule.h"

namespace gateway {

// The bucket starts empty, as another life of this gateway may just have spent it. When the number of entry
// points changes it fills by the smaller part until the next request. A tenant forgotten here was idle for
// twice the longest name and gets what that time fills at most.
bool CeilingBucket::take(Tenant& tenant, const QuotaPlan& plan, double cost, TimePoint now,
                         TimePoint startedAt) const {
    CeilingTokens& bucket = tenant.ceiling;
    const double share = 1.0 / tenant.entryPoints;
    const bool neverFilled = bucket.filledAt == TimePoint{};
    const TimePoint since =
        neverFilled ? std::max(startedAt, now - 2 * kMaxCounterNameLifetime) : bucket.filledAt;
    const double rate = plan.ceilingRate - (settings_.counterEnabled ? plan.rate : 0);
    const double filled = toSeconds(now - since) * std::max(0.0, rate) * std::min(share, bucket.share);
    bucket.tokens = std::min(capacity(tenant, plan), bucket.tokens + filled);
    bucket.share = share;
    bucket.filledAt = now;
    if (bucket.tokens < cost) return false;
    bucket.tokens -= cost;
    return true;
}

void CeilingBucket::giveBack(Tenant& tenant, const QuotaPlan& plan, double cost) const {
    tenant.ceiling.tokens = std::min(capacity(tenant, plan), tenant.ceiling.tokens + cost);
}

double CeilingBucket::capacity(const Tenant& tenant, const QuotaPlan& plan) const {
    if (!settings_.counterEnabled) return plan.ceilingBurst / tenant.entryPoints;
    return std::max((plan.ceilingBurst - plan.burst) / tenant.entryPoints, settings_.maxRequestCost);
}

}  // namespace gateway
