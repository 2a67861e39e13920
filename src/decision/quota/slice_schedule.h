// When each slice of a tenant's sliding window starts, how long it lasts and which one is current.
//
// After the sliding window counters of Šnuderl's thesis, which leaves the window's length open. Here a slice
// lasts burst / rate of its plan. All gateways derive the same slices from the shared clock, without any
// messages.
#pragma once

#include <chrono>
#include <cstdint>

#include "gateway/settings.h"
#include "gateway/types.h"

namespace gateway {

// The counter service keeps a name for at most this long after an add.
constexpr Duration kMaxCounterNameLifetime = std::chrono::seconds(60);

// Number of a slice, counted from the epoch of the fleet's clock. Slices of different plans have different
// lengths, so an index is only meaningful together with the tenant's plan.
enum class SliceIndex : std::int64_t {};

// The index of the slice that follows `index`.
constexpr SliceIndex nextSlice(SliceIndex index) {
    return SliceIndex{static_cast<std::int64_t>(index) + 1};
}

// The index of the slice that precedes `index`.
constexpr SliceIndex previousSlice(SliceIndex index) {
    return SliceIndex{static_cast<std::int64_t>(index) - 1};
}

// Length of a slice in seconds: burst / rate, at least 0.1 s and at most a third of the maximum name
// lifetime.
double sliceSeconds(const QuotaPlan& plan);

// How long the counter service is asked to keep the name of a slice after an add.
Duration counterNameLifetime(const QuotaPlan& plan);

// Shift of a tenant's slices, as a share of the slice length from 0 up to 1. It spreads the starts of slices
// over the tenants of a plan.
double slicePhase(TenantId tenant);

// The slice that is current at `now`.
SliceIndex sliceIndexAt(TenantId tenant, const QuotaPlan& plan, TimePoint now);

// Start of a slice in seconds since the epoch of the fleet's clock.
double sliceStartSeconds(TenantId tenant, const QuotaPlan& plan, SliceIndex index);

// Seconds from the start of a slice until `now`; negative before its start.
double sliceAgeSeconds(TenantId tenant, const QuotaPlan& plan, SliceIndex index, TimePoint now);

}  // namespace gateway
