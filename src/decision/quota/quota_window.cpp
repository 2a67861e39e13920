#include "decision/quota/quota_window.h"

#include <algorithm>

#include "decision/common/arithmetic.h"

namespace gateway {
namespace {

constexpr double kCostRoundingMargin = 1e-6;  // rounding error of the counter's decimal sums

}  // namespace

bool RemainingQuota::covers(double requestCost) const {
    return cost >= requestCost - kCostRoundingMargin;
}

WindowSlice& QuotaWindow::advance(Tenant& tenant, TimePoint now) {
    const SliceIndex current = sliceIndexAt(tenant.id, estimator_.planOf(tenant), now);
    std::vector<WindowSlice>& slices = tenant.slices;
    while (!slices.empty() && slices.front().index() < previousSlice(current)) {
        tenant.usage.recordClosedSlice(slices.front());
        slices.erase(slices.begin());
    }
    while (slices.empty() || slices.back().index() < current)
        slices.push_back(makeNextSlice(tenant, current));
    return slices.back();
}

// Until the counter reports its total, a new slice has the known and estimated debt of the preceding slice.
WindowSlice QuotaWindow::makeNextSlice(const Tenant& tenant, SliceIndex current) const {
    if (tenant.slices.empty()) return WindowSlice(previousSlice(current));
    const QuotaPlan& plan = estimator_.planOf(tenant);
    const WindowSlice& previous = tenant.slices.back();
    const double known = previous.total() + previous.expiredQuota();
    const double debt = debtOf(plan, known);
    const double estimatedDebt = debtOf(plan, known + costSinceTotal(tenant, previous));
    return WindowSlice(nextSlice(previous.index()), {.inTotal = debt, .sinceTotal = estimatedDebt - debt});
}

double QuotaWindow::estimatedTotal(const Tenant& tenant, const WindowSlice& slice, TimePoint now) const {
    if (!estimator_.reliesOnMeter(tenant))
        return slice.total() + slice.admittedSinceTotal() + slice.remoteSinceTotal();
    // The estimate of remote usage is limited to the plan's rate.
    const QuotaPlan& plan = estimator_.planOf(tenant);
    const double since = std::max(secondsSinceEpoch(slice.totalReportedAt()),
                                  sliceStartSeconds(tenant.id, plan, slice.index()));
    const double maxRemote = plan.rate * std::max(0.0, secondsSinceEpoch(now) - since);
    return slice.total() + slice.admittedSinceTotal() + std::min(slice.remoteSinceTotal(), maxRemote);
}

RemainingQuota QuotaWindow::remainingQuota(const Tenant& tenant, const WindowSlice& slice, double total,
                                           TimePoint now) const {
    return {quotaBeforeExpiry(tenant, slice, total, now) - slice.expiredQuota()};
}

void QuotaWindow::expireUnusedQuota(const Tenant& tenant, WindowSlice& slice, double total, TimePoint now) {
    const double quota = quotaBeforeExpiry(tenant, slice, total, now);
    slice.expireQuota(quota - maxBurst(estimator_.planOf(tenant)));
}

void QuotaWindow::expireCurrentSliceQuota(Tenant& tenant, TimePoint now) {
    if (estimator_.planOf(tenant).rate <= 0 || tenant.slices.empty()) return;
    WindowSlice& current = tenant.slices.back();
    expireUnusedQuota(tenant, current, current.total(), now);
}

Duration QuotaWindow::timeUntilQuota(const Tenant& tenant, double cost, TimePoint now) const {
    const QuotaPlan& plan = estimator_.planOf(tenant);
    if (plan.rate <= 0 || tenant.slices.empty()) return Duration{};
    const WindowSlice& current = tenant.slices.back();
    const double missing = cost - remainingQuota(tenant, current, current.total(), now).cost;
    return fromSeconds(std::max(0.0, missing) / plan.rate);
}

bool QuotaWindow::isWithinQuota(const Tenant& tenant, const WindowSlice& slice, TimePoint now) const {
    const QuotaPlan& plan = estimator_.planOf(tenant);
    const double length = sliceSeconds(plan);
    const double age = sliceAgeSeconds(tenant.id, plan, slice.index(), now);
    // The quota of a closed slice stops growing at its end.
    const double quotaAtEnd = maxBurst(plan) + plan.rate * length;
    const double quota = std::min(quotaAtEnd, quotaAtEnd + plan.rate * (age - length));
    return slice.total() <= quota - slice.expiredQuota();
}

double QuotaWindow::quotaUtilization(const Tenant& tenant, const WindowSlice& slice, TimePoint now) const {
    if (estimator_.reliesOnMeter(tenant)) return tenant.usage.meteredUtilization();
    const QuotaPlan& plan = estimator_.planOf(tenant);
    const double byDemand = tenant.usage.demand() / (estimator_.trafficShare(tenant) * plan.rate);
    const double byTotal = estimatedTotal(tenant, slice, now) / (plan.rate * sliceSeconds(plan));
    return std::max(byDemand, byTotal);
}

double QuotaWindow::costSinceTotal(const Tenant& tenant, const WindowSlice& slice) const {
    const double remote = estimator_.reliesOnMeter(tenant) ? 0 : slice.remoteSinceTotal();
    return slice.admittedSinceTotal() + remote;
}

double QuotaWindow::debtOf(const QuotaPlan& plan, double total) {
    return std::max(0.0, total - plan.rate * sliceSeconds(plan));
}

// At least the largest request cost, so that every request can be admitted at some time.
double QuotaWindow::maxBurst(const QuotaPlan& plan) const {
    return std::max(plan.burst, settings_.maxRequestCost);
}

double QuotaWindow::quotaBeforeExpiry(const Tenant& tenant, const WindowSlice& slice, double total,
                                      TimePoint now) const {
    const QuotaPlan& plan = estimator_.planOf(tenant);
    return maxBurst(plan) + plan.rate * sliceAgeSeconds(tenant.id, plan, slice.index(), now) - total;
}

}  // namespace gateway
