// The sliding window of slice counts that holds a tenant to its quota.
//
// After the sliding window counters of Šnuderl's "Rate limiting in API management". A slice is burst / rate
// long; a tenant has room for its burst plus what its rate has brought since the current slice began, less
// that slice's sum. docs/design.md tells what was kept of the thesis and what was changed.
#pragma once

#include "decision/quota/tenant.h"
#include "decision/quota/usage_estimator.h"
#include "gateway/settings.h"

namespace gateway {

// The slice with that index, or null.
WindowSlice* findSlice(Tenant& tenant, SliceIndex index);

// What a slice's sum exceeds its rate by; it is carried into the next slice.
double debtOf(const QuotaPlan& plan, double sum);

class QuotaWindow {
public:
    // Both arguments must outlive the window.
    QuotaWindow(const Settings& settings, const UsageEstimator& usage) : settings_(settings), usage_(usage) {}

    // Opens the current slice, drops those that have left the window and returns the current one.
    WindowSlice& advance(Tenant& tenant, TimePoint now) const;

    // The slice's sum over all gateways by now, as far as is known or estimated here.
    double estimatedSum(const Tenant& tenant, const WindowSlice& slice, TimePoint now) const;

    // The cost that still fits when the slice's sum is `sum`; negative beyond the quota.
    double roomFor(const Tenant& tenant, WindowSlice& slice, double sum, TimePoint now) const;

    // `cost` fits when the slice's sum is `sum`.
    bool hasRoomFor(const Tenant& tenant, WindowSlice& slice, double sum, double cost, TimePoint now) const {
        constexpr double kRoundingMargin = 1e-6;  // of costs, which the counter sums as decimal numbers
        return roomFor(tenant, slice, sum, now) >= cost - kRoundingMargin;
    }

    // The last known sums leave no room for `cost`, so that the counter need not be asked.
    bool isKnownFull(Tenant& tenant, double cost, TimePoint now) const;

    // Until the last known sum leaves room for `cost`; 0 where it does.
    Duration timeUntilRoom(Tenant& tenant, double cost, TimePoint now) const;

    // How much of its quota the tenant uses, about; 1 is all of it.
    double quotaUse(const Tenant& tenant, const WindowSlice& slice, TimePoint now) const;

    // Cost that was admitted and is in no sum yet.
    double unsummedCost(const Tenant& tenant, const WindowSlice& slice) const;

    // `cost` was admitted without a reply of the counter; negative when that is taken back.
    void noteUnconfirmed(const Tenant& tenant, WindowSlice& slice, double cost) const;

private:
    WindowSlice openNext(const Tenant& tenant, SliceIndex currentIndex) const;

    const Settings& settings_;
    const UsageEstimator& usage_;
};

}  // namespace gateway
