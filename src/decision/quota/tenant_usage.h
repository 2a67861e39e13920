// What one gateway has observed of one tenant's use of its quota.
#pragma once

#include "decision/quota/window_slice.h"
#include "gateway/settings.h"
#include "gateway/types.h"

namespace gateway {

// Changed by its record...() functions only; UsageEstimator draws conclusions from it. Costs are in the
// plan's cost unit.
class TenantUsage {
public:
    // Cost admitted here in closed slices; each closed slice halves the weight of those before it.
    double closedLocalCost() const { return closedLocalCost_; }
    // The same over all gateways.
    double closedTotalCost() const { return closedTotalCost_; }
    // Cost per second that the tenant has requested here, averaged over about two slices.
    double demand() const { return demand_; }
    // When the counter last reported a total of any slice; the epoch if never.
    TimePoint totalReportedAt() const { return totalReportedAt_; }
    // Share of its quota that the tenant uses over all gateways, by the usage meter and the counter's
    // rejections.
    double meteredUtilization() const { return meteredUtilization_; }

    // Assumes a utilization close to the quota until the usage meter reports one.
    void assumeInitialUtilization();

    // The tenant requested `cost` under that plan at `now`.
    void recordDemand(double cost, const QuotaPlan& plan, TimePoint now);

    // The slice has left the window. Without a reported total it shows nothing.
    void recordClosedSlice(const WindowSlice& slice);

    // The counter reported a total at `now`.
    void recordTotal(TimePoint now) { totalReportedAt_ = now; }

    // A response carried the usage meter's reading: the share of its quota that the tenant uses, in percent.
    void recordMeter(double percent);

    // The tenant's quota is exhausted, so at least all of it is in use.
    void recordExhausted();

private:
    double closedLocalCost_ = 0;
    double closedTotalCost_ = 0;
    double demand_ = 0;
    TimePoint demandRecordedAt_{};
    TimePoint totalReportedAt_{};
    double meteredUtilization_ = 1;
};

}  // namespace gateway
