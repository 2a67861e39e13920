#include "decision/quota/usage_estimator.h"

#include <algorithm>

#include "decision/quota/slice_schedule.h"

namespace gateway {
namespace {

constexpr double kLowLocalTrafficShare = 0.1;
// How fast the weight of the estimate falls as the value of an over-quota request exceeds its penalty.
constexpr double kEstimateWeightPerNetPenalty = 5;
constexpr double kMinTrafficMultiplier = 0.5;  // of an even share among the tenant's entry points

}  // namespace

const QuotaPlan& UsageEstimator::planOf(const Tenant& tenant) const {
    return settings_.plan(tenant.plan);
}

double UsageEstimator::trafficShare(const Tenant& tenant) const {
    const QuotaPlan& plan = planOf(tenant);
    const double windowQuota = plan.burst + plan.rate * sliceSeconds(plan);
    // The prior assumes an even share among the entry points. It has the weight of half the cost that the
    // quota admits in one slice.
    const double prior = std::max({windowQuota, settings_.maxRequestCost, 1.0}) / 2;
    const TenantUsage& usage = tenant.usage;
    const double share =
        (usage.closedLocalCost() + prior / tenant.entryPoints) / (usage.closedTotalCost() + prior);
    return std::clamp(share, kMinTrafficMultiplier / tenant.entryPoints, 1.0);
}

bool UsageEstimator::hasLowLocalTraffic(const Tenant& tenant) const {
    return trafficShare(tenant) < kLowLocalTrafficShare;
}

bool UsageEstimator::reliesOnMeter(const Tenant& tenant) const {
    return settings_.usageMeterPeriod > Duration{} && hasLowLocalTraffic(tenant);
}

double UsageEstimator::estimatedRemoteUsage(const Tenant& tenant, double cost) const {
    const QuotaPlan& plan = planOf(tenant);
    // The more the value of an over-quota request exceeds its penalty, the lower is the weight of the
    // estimate.
    const double netPenalty = plan.overQuotaPenalty - plan.overQuotaWeight;
    const double estimateWeight =
        settings_.counterEnabled ? std::clamp(1 + kEstimateWeightPerNetPenalty * netPenalty, 0.0, 1.0) : 1.0;
    return cost * (1 / trafficShare(tenant) - 1) * estimateWeight;
}

}  // namespace gateway
