#include "decision/quota/usage_estimator.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "decision/common/arithmetic.h"
#include "decision/quota/slice_schedule.h"

namespace gateway {
namespace {

constexpr double kSparseShare = 0.1;      // traffic share under which own requests tell nothing
constexpr double kClosedSliceKept = 0.5;  // what is kept of the observed share at each closed slice
constexpr double kMeterSmoothing = 0.15;  // weight of a new reading of the meter
constexpr double kDemandSlices = 2;       // slices over which demand is averaged
constexpr double kPenaltyTrust = 5;       // how fast trust in the estimate falls as a request too many earns

}  // namespace

const QuotaPlan& UsageEstimator::planOf(const Tenant& tenant) const {
    return settings_.plans[toPosition(tenant.plan)];
}

double UsageEstimator::trafficShare(const Tenant& tenant) const {
    const QuotaPlan& plan = planOf(tenant);
    const double window = plan.burst + plan.rate * sliceSeconds(plan);
    const double prior = std::max({window, settings_.maxRequestCost, 1.0}) / 2;
    const TenantUsage& usage = tenant.usage;
    const double share = (usage.ownSeen + prior / tenant.entryPoints) / (usage.totalSeen + prior);
    return std::clamp(share, 0.5 / tenant.entryPoints, 1.0);
}

bool UsageEstimator::isSparseHere(const Tenant& tenant) const {
    return trafficShare(tenant) < kSparseShare;
}

bool UsageEstimator::reliesOnMeter(const Tenant& tenant) const {
    return settings_.usageMeterPeriod > Duration{} && isSparseHere(tenant);
}

// Left out as far as a request too many earns more than it costs.
double UsageEstimator::othersWhile(const Tenant& tenant, double cost) const {
    const QuotaPlan& plan = planOf(tenant);
    const double loss = plan.overQuotaPenalty - plan.overQuotaWeight;
    const double trust = settings_.counterEnabled ? std::clamp(1 + kPenaltyTrust * loss, 0.0, 1.0) : 1.0;
    return cost * (1 / trafficShare(tenant) - 1) * trust;
}

void UsageEstimator::noteDemand(Tenant& tenant, double cost, TimePoint now) const {
    TenantUsage& usage = tenant.usage;
    const double span = kDemandSlices * sliceSeconds(planOf(tenant));
    const Duration sinceLast = now - std::exchange(usage.demandAt, now);
    usage.demand *= std::exp(-toSeconds(sinceLast) / span);
    usage.demand += cost / span;
}

void UsageEstimator::noteClosedSlice(Tenant& tenant, const WindowSlice& slice) const {
    if (!slice.hasTotal) return;
    TenantUsage& usage = tenant.usage;
    usage.ownSeen = usage.ownSeen * kClosedSliceKept + slice.ownAdmitted;
    usage.totalSeen = usage.totalSeen * kClosedSliceKept + std::max(slice.ownAdmitted, slice.total);
}

void UsageEstimator::noteMeter(Tenant& tenant, double percent) const {
    tenant.usage.meteredUse = movingAverage(tenant.usage.meteredUse, percent / 100, kMeterSmoothing);
}

}  // namespace gateway
