#include "decision/quota/tenant_usage.h"

#include <algorithm>
#include <cmath>

#include "decision/common/arithmetic.h"
#include "decision/quota/slice_schedule.h"

namespace gateway {
namespace {

constexpr double kInitialUtilization = 0.9;        // share of the quota
constexpr double kClosedSliceRetainedShare = 0.5;  // of the costs of earlier closed slices
constexpr double kMeterSmoothing = 0.15;
constexpr double kDemandAveragingSlices = 2;
constexpr double kPercentPerUnit = 100;

}  // namespace

void TenantUsage::assumeInitialUtilization() {
    meteredUtilization_ = kInitialUtilization;
}

void TenantUsage::recordDemand(double cost, const QuotaPlan& plan, TimePoint now) {
    const double averagingSeconds = kDemandAveragingSlices * sliceSeconds(plan);
    const Duration sinceLast = now - demandRecordedAt_;
    demandRecordedAt_ = now;
    demand_ *= std::exp(-toSeconds(sinceLast) / averagingSeconds);
    demand_ += cost / averagingSeconds;
}

void TenantUsage::recordClosedSlice(const WindowSlice& slice) {
    if (!slice.hasTotal()) return;
    const double localCost = slice.localAdmitted();
    closedLocalCost_ = closedLocalCost_ * kClosedSliceRetainedShare + localCost;
    closedTotalCost_ = closedTotalCost_ * kClosedSliceRetainedShare + std::max(localCost, slice.total());
}

void TenantUsage::recordMeter(double percent) {
    meteredUtilization_ = movingAverage(meteredUtilization_, percent / kPercentPerUnit, kMeterSmoothing);
}

void TenantUsage::recordExhausted() {
    meteredUtilization_ = std::max(meteredUtilization_, 1.0);
}

}  // namespace gateway
