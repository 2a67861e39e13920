// The sliding window that limits a tenant to its quota.
//
// It follows the sliding window counters of Šnuderl's "Rate limiting in API management"; docs/design.md lists
// the differences from the thesis. A tenant's window consists of the current slice and the preceding one. The
// remaining quota of a slice is the burst, or the largest request cost if that is higher, plus the rate times
// the slice's age, less the slice's total and the unused quota that has expired. The preceding slice affects
// the current one only by the debt that it carries forward.
#pragma once

#include "decision/quota/slice_schedule.h"
#include "decision/quota/tenant.h"
#include "decision/quota/usage_estimator.h"
#include "gateway/settings.h"

namespace gateway {

// The cost that a slice can still admit, in the plan's cost unit; negative if the quota is exceeded.
struct RemainingQuota {
    double cost = 0;

    // Whether a request of that cost can be admitted, up to rounding errors.
    bool covers(double requestCost) const;
};

// Operates on Tenant::slices and keeps no state of its own. Unless a function states otherwise, the tenant's
// plan must have a rate above 0.
class QuotaWindow {
public:
    // Both arguments must outlive the window.
    QuotaWindow(const Settings& settings, const UsageEstimator& estimator)
        : settings_(settings), estimator_(estimator) {}

    // Removes slices that have left the window, opens the current slice if necessary and returns it.
    // Invalidates pointers and references to the tenant's slices.
    WindowSlice& advance(Tenant& tenant, TimePoint now);

    // Returns the slice's estimated total across all gateways at `now`: the last known total plus the cost
    // admitted since, by this gateway and, as estimated, by the others.
    double estimatedTotal(const Tenant& tenant, const WindowSlice& slice, TimePoint now) const;

    // Returns the remaining quota if the slice's total is `total`. Expired quota is not included.
    RemainingQuota remainingQuota(const Tenant& tenant, const WindowSlice& slice, double total,
                                  TimePoint now) const;

    // Expires the unused quota beyond the burst at `now` if the slice's total is `total`, so that an idle
    // slice does not accumulate more than its burst.
    void expireUnusedQuota(const Tenant& tenant, WindowSlice& slice, double total, TimePoint now);

    // Calls expireUnusedQuota() for the current slice and its last known total. Does nothing for a tenant
    // without slices or a plan without a rate.
    void expireCurrentSliceQuota(Tenant& tenant, TimePoint now);

    // Returns the time until the last known total of the current slice leaves quota for `cost`; 0 if it
    // leaves enough now, if the tenant has no slices or if its plan has no rate.
    Duration timeUntilQuota(const Tenant& tenant, double cost, TimePoint now) const;

    // Whether the slice's last known total is within the tenant's quota at `now`.
    bool isWithinQuota(const Tenant& tenant, const WindowSlice& slice, TimePoint now) const;

    // Returns the estimated share of its quota that the tenant uses across all gateways; above 1 if it
    // exceeds the quota.
    double quotaUtilization(const Tenant& tenant, const WindowSlice& slice, TimePoint now) const;

    // Returns the admitted cost that the slice's total does not include yet. For a tenant that relies on the
    // meter this is the local cost only; otherwise each gateway of a large fleet would post its own estimate
    // of the remote usage.
    double costSinceTotal(const Tenant& tenant, const WindowSlice& slice) const;

    // Returns the debt that a slice with that total carries forward: the excess over rate times slice length.
    static double debtOf(const QuotaPlan& plan, double total);

private:
    WindowSlice makeNextSlice(const Tenant& tenant, SliceIndex current) const;
    double maxBurst(const QuotaPlan& plan) const;
    double quotaBeforeExpiry(const Tenant& tenant, const WindowSlice& slice, double total,
                             TimePoint now) const;

    const Settings& settings_;
    const UsageEstimator& estimator_;
};

}  // namespace gateway
