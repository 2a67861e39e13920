// The sliding window of slices that holds a tenant to its quota.
//
// After the sliding window counters of Šnuderl's "Rate limiting in API management". The remaining quota of a
// slice is the burst, plus what the rate has added since the slice began, less the slice's total.
// docs/design.md lists what is kept of the thesis and what is changed.
#pragma once

#include "decision/quota/slice_schedule.h"
#include "decision/quota/tenant.h"
#include "decision/quota/usage_estimator.h"
#include "gateway/settings.h"

namespace gateway {

// Cost that a slice can still admit, in the plan's cost unit; negative beyond the quota.
struct RemainingQuota {
    double cost = 0;

    // Whether a request of that cost can be admitted.
    bool covers(double requestCost) const;
};

// Decides on the slices of the tenants that it is handed. Unless a function states otherwise, the tenant's
// plan must have a rate above 0.
class QuotaWindow {
public:
    // Both arguments must outlive the window.
    QuotaWindow(const Settings& settings, const UsageEstimator& usage) : settings_(settings), usage_(usage) {}

    // Opens the current slice, drops slices that have left the window and returns the current one.
    // Invalidates pointers and references to the tenant's slices.
    WindowSlice& advance(Tenant& tenant, TimePoint now);

    // The slice's total over all gateways at `now`: the last reported one and what was admitted since, as far
    // as it is known or estimated here.
    double estimatedTotal(const Tenant& tenant, const WindowSlice& slice, TimePoint now) const;

    // What remains of the quota if the slice's total is `total`. Capacity beyond the burst is not included:
    // it expires.
    RemainingQuota remainingQuota(const Tenant& tenant, const WindowSlice& slice, double total,
                                  TimePoint now) const;

    // Expires the capacity beyond the burst that is unused at `now` if the slice's total is `total`, so that
    // an idle slice does not accumulate more than its burst.
    void expireUnusedBurst(const Tenant& tenant, WindowSlice& slice, double total, TimePoint now);

    // The same for the current slice and its last known total. Does nothing for a tenant without slices or a
    // plan without a rate.
    void expireCurrentSliceBurst(Tenant& tenant, TimePoint now);

    // Time until the last known total of the current slice leaves quota for `cost`; 0 if it does now, if the
    // tenant has no slices or if its plan has no rate.
    Duration timeUntilQuota(const Tenant& tenant, double cost, TimePoint now) const;

    // Whether the slice's last known total is within the quota of all gateways at `now`.
    bool isWithinQuota(const Tenant& tenant, const WindowSlice& slice, TimePoint now) const;

    // Estimated share of its quota that the tenant uses over all gateways; 1 is all of it, and more is
    // possible.
    double quotaUtilization(const Tenant& tenant, const WindowSlice& slice, TimePoint now) const;

    // Admitted cost that is not yet included in the slice's total. A tenant that relies on the meter has only
    // its local cost included: each gateway of a large fleet would otherwise post its own estimate of the
    // others' usage.
    double costSinceTotal(const Tenant& tenant, const WindowSlice& slice) const;

    // The debt that a slice with that total carries forward: what exceeds the rate over its length.
    static double debtOf(const QuotaPlan& plan, double total);

private:
    WindowSlice openNext(const Tenant& tenant, SliceIndex current) const;
    double maxBurst(const QuotaPlan& plan) const;
    double unexpiredQuota(const Tenant& tenant, const WindowSlice& slice, double total, TimePoint now) const;

    const Settings& settings_;
    const UsageEstimator& usage_;
};

}  // namespace gateway
