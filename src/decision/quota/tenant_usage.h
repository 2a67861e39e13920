// One gateway's observations of how much of its quota a tenant uses.
#pragma once

#include "decision/quota/window_slice.h"
#include "gateway/settings.h"
#include "gateway/types.h"

namespace gateway {

// UsageEstimator derives its estimates from these observations. Costs are in the plan's cost unit.
class TenantUsage {
public:
    // Cost that this gateway admitted in closed slices. Each closed slice halves the weight of earlier ones.
    double closedLocalCost() const { return closedLocalCost_; }
    // Cost that all gateways admitted in closed slices, weighted like closedLocalCost().
    double closedTotalCost() const { return closedTotalCost_; }
    // Cost per second that the tenant has requested at this gateway, averaged over about two slices.
    double demand() const { return demand_; }
    // When the counter last reported a total of any slice; the epoch if never.
    TimePoint totalReportedAt() const { return totalReportedAt_; }
    // Share of its quota that the tenant uses across all gateways, as the usage meter and the counter show
    // it.
    double meteredUtilization() const { return meteredUtilization_; }

    // Assumes that the tenant uses most of its quota until the usage meter reports otherwise.
    void assumeInitialUtilization();

    // Records that the tenant requested `cost` under that plan at `now`.
    void recordDemand(double cost, const QuotaPlan& plan, TimePoint now);

    // Records a slice that has left the window. Ignores a slice without a reported total.
    void recordClosedSlice(const WindowSlice& slice);

    // Records that the counter reported a total at `now`.
    void recordTotal(TimePoint now) { totalReportedAt_ = now; }

    // Records a usage meter reading from a response: the share of its quota that the tenant uses, in percent.
    void recordMeter(double percent);

    // Records that the tenant has exhausted its quota: its metered utilization becomes at least 1.
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
