#include "decision/quota/quota_window.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "decision/common/arithmetic.h"

namespace gateway {

WindowSlice* findSlice(Tenant& tenant, SliceIndex index) {
    for (WindowSlice& slice : tenant.slices)
        if (slice.index == index) return &slice;
    return nullptr;
}

double debtOf(const QuotaPlan& plan, double sum) {
    return std::max(0.0, sum - plan.rate * sliceSeconds(plan));
}

WindowSlice& QuotaWindow::advance(Tenant& tenant, TimePoint now) const {
    const SliceIndex current = sliceIndexAt(tenant.id, usage_.planOf(tenant), now);
    auto& slices = tenant.slices;
    while (!slices.empty() && slices.front().index < previousSlice(current)) {
        usage_.noteClosedSlice(tenant, slices.front());
        slices.erase(slices.begin());
    }
    while (slices.empty() || slices.back().index < current) slices.push_back(openNext(tenant, current));
    return slices.back();
}

// Until the counter replies for it, the new slice has the debt that is known of the one before.
WindowSlice QuotaWindow::openNext(const Tenant& tenant, SliceIndex currentIndex) const {
    WindowSlice next;
    if (tenant.slices.empty()) {
        next.index = previousSlice(currentIndex);
        return next;
    }
    const QuotaPlan& plan = usage_.planOf(tenant);
    const WindowSlice& previous = tenant.slices.back();
    const double known = previous.total + previous.forfeited;
    next.index = nextSlice(previous.index);
    next.total = debtOf(plan, known);
    next.admittedSince = debtOf(plan, known + unsummedCost(tenant, previous)) - next.total;
    return next;
}

// Many others are not taken to admit more than the plan's rate.
double QuotaWindow::estimatedSum(const Tenant& tenant, const WindowSlice& slice, TimePoint now) const {
    if (!usage_.reliesOnMeter(tenant)) return slice.total + slice.admittedSince + slice.othersSince;
    const QuotaPlan& plan = usage_.planOf(tenant);
    const double from =
        std::max(secondsSinceEpoch(slice.repliedAt), sliceStartSeconds(tenant.id, plan, slice.index));
    const double most = plan.rate * std::max(0.0, secondsSinceEpoch(now) - from);
    return slice.total + slice.admittedSince + std::min(slice.othersSince, most);
}

// Room seen past the burst is taken as lost, so an idle slice saves up no more; where few sums are seen a
// little more is admitted.
double QuotaWindow::roomFor(const Tenant& tenant, WindowSlice& slice, double sum, TimePoint now) const {
    const QuotaPlan& plan = usage_.planOf(tenant);
    const double burst = std::max(plan.burst, settings_.maxRequestCost);
    const double age = sliceAgeSeconds(tenant.id, plan, slice.index, now);
    const double room = burst + plan.rate * age - sum;
    if (slice.hasTotal) slice.forfeited = std::max(slice.forfeited, room - burst);
    return room - slice.forfeited;
}

// Keeps the charge, soon to be refunded, out of the sums that others see; room just refunded is seen late.
bool QuotaWindow::isKnownFull(Tenant& tenant, double cost, TimePoint now) const {
    WindowSlice& current = tenant.slices.back();
    return current.total > 0 && !hasRoomFor(tenant, current, current.total, cost, now);
}

Duration QuotaWindow::timeUntilRoom(Tenant& tenant, double cost, TimePoint now) const {
    const QuotaPlan& plan = usage_.planOf(tenant);
    if (plan.rate <= 0 || tenant.slices.empty()) return Duration{};
    WindowSlice& current = tenant.slices.back();
    const double missing = cost - roomFor(tenant, current, current.total, now);
    return fromSeconds(std::max(0.0, missing) / plan.rate);
}

double QuotaWindow::quotaUse(const Tenant& tenant, const WindowSlice& slice, TimePoint now) const {
    if (usage_.reliesOnMeter(tenant)) return tenant.usage.meteredUse;
    const QuotaPlan& plan = usage_.planOf(tenant);
    const double byDemand = tenant.usage.demand / (usage_.trafficShare(tenant) * plan.rate);
    const double bySum = estimatedSum(tenant, slice, now) / (plan.rate * sliceSeconds(plan));
    return std::max(byDemand, bySum);
}

// Among many gateways only own cost counts: each would post its guess of the others.
double QuotaWindow::unsummedCost(const Tenant& tenant, const WindowSlice& slice) const {
    return slice.admittedSince + (usage_.reliesOnMeter(tenant) ? 0 : slice.othersSince);
}

void QuotaWindow::noteUnconfirmed(const Tenant& tenant, WindowSlice& slice, double cost) const {
    slice.admittedSince += cost;
    slice.othersSince += usage_.othersWhile(tenant, cost);
}

}  // namespace gateway
