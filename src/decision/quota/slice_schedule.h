// Computes the start, the length and the index of the slices of a tenant's sliding window.
//
// The slices follow the sliding window counters of Šnuderl's "Rate limiting in API management", which does
// not specify the window's length. Here a slice lasts burst / rate of its plan. All gateways derive the same
// slices from the shared clock, without exchanging messages.
#pragma once

#include <chrono>
#include <cstdint>

#include "gateway/settings.h"
#include "gateway/types.h"

namespace gateway {

// The longest time for which the counter service keeps a name after an add.
constexpr Duration kMaxCounterNameLifetime = std::chrono::seconds(60);

// The number of a slice, counted from the epoch of the fleet's clock. Slices of different plans have
// different lengths, so an index is only meaningful together with the tenant's plan.
enum class SliceIndex : std::int64_t {};

constexpr SliceIndex nextSlice(SliceIndex index) {
    return SliceIndex{static_cast<std::int64_t>(index) + 1};
}

constexpr SliceIndex previousSlice(SliceIndex index) {
    return SliceIndex{static_cast<std::int64_t>(index) - 1};
}

// Returns the length of a slice in seconds: burst / rate, at least 0.1 s and at most a third of
// kMaxCounterNameLifetime.
double sliceSeconds(const QuotaPlan& plan);

// Returns the time for which the counter service is asked to keep the name of a slice after an add.
Duration counterNameLifetime(const QuotaPlan& plan);

// Returns the offset of a tenant's slices as a fraction of the slice length, in [0, 1). It staggers the
// starts of slices among the tenants of a plan.
double slicePhase(TenantId tenant);

// Returns the index of the slice that is current at `now`.
SliceIndex sliceIndexAt(TenantId tenant, const QuotaPlan& plan, TimePoint now);

// Returns the start of a slice in seconds since the epoch of the fleet's clock.
double sliceStartSeconds(TenantId tenant, const QuotaPlan& plan, SliceIndex index);

// Returns the seconds from the start of a slice until `now`; negative before its start.
double sliceAgeSeconds(TenantId tenant, const QuotaPlan& plan, SliceIndex index, TimePoint now);

}  // namespace gateway
