#include "decision/quota/slice_schedule.h"

#include <algorithm>
#include <cmath>

#include "decision/common/arithmetic.h"

namespace gateway {
namespace {

constexpr Duration kMinSliceLength = std::chrono::milliseconds(100);
constexpr int kSlicesPerNameLifetime = 3;
constexpr double kMinRate = 1e-9;  // cost per second; avoids a division by zero
constexpr std::uint64_t kPhaseSteps = 1024;
constexpr std::uint64_t kPhaseHashFactor =
    2654435761;  // Knuth's multiplicative hash: consecutive ids get distant phases

}  // namespace

double sliceSeconds(const QuotaPlan& plan) {
    return std::clamp(plan.burst / std::max(plan.rate, kMinRate), toSeconds(kMinSliceLength),
                      toSeconds(kMaxCounterNameLifetime) / kSlicesPerNameLifetime);
}

Duration counterNameLifetime(const QuotaPlan& plan) {
    return std::min(kMaxCounterNameLifetime, fromSeconds(kSlicesPerNameLifetime * sliceSeconds(plan)));
}

double slicePhase(TenantId tenant) {
    const std::uint64_t step = static_cast<std::uint64_t>(tenant) * kPhaseHashFactor % kPhaseSteps;
    return static_cast<double>(step) / static_cast<double>(kPhaseSteps);
}

SliceIndex sliceIndexAt(TenantId tenant, const QuotaPlan& plan, TimePoint now) {
    const double slicesSinceEpoch = secondsSinceEpoch(now) / sliceSeconds(plan) + slicePhase(tenant);
    return SliceIndex{static_cast<std::int64_t>(std::floor(slicesSinceEpoch))};
}

double sliceStartSeconds(TenantId tenant, const QuotaPlan& plan, SliceIndex index) {
    const auto slicesSinceEpoch = static_cast<double>(static_cast<std::int64_t>(index));
    return (slicesSinceEpoch - slicePhase(tenant)) * sliceSeconds(plan);
}

double sliceAgeSeconds(TenantId tenant, const QuotaPlan& plan, SliceIndex index, TimePoint now) {
    return secondsSinceEpoch(now) - sliceStartSeconds(tenant, plan, index);
}

}  // namespace gateway
