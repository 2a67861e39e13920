// The endpoints that discovery lists. Each has a slot, its position in the set.
#pragma once

#include <cstddef>
#include <span>
#include <unordered_map>
#include <vector>

#include "decision/upstream/concurrency_limiter.h"
#include "decision/upstream/endpoint.h"
#include "decision/upstream/endpoint_subset.h"
#include "decision/upstream/slow_start.h"
#include "decision/upstream/total_capacity.h"
#include "gateway/settings.h"

namespace gateway {

// Owns the endpoints. Invariants: an endpoint keeps its slot while it is listed or has an attempt in flight;
// the Endpoint in a free slot is not usable.
class EndpointSet {
public:
    // `slowStart` and `limiter` must outlive the set.
    EndpointSet(const Settings& settings, const SlowStart& slowStart, const ConcurrencyLimiter& limiter)
        : slowStart_(slowStart), limiter_(limiter), subset_(settings) {}

    // Applies an endpoint list or changes of it. Precondition: the kind of the update is not `failed`.
    void apply(const EndpointUpdate& update, TimePoint now);

    // Selects the subset again if it is stale.
    void refreshSubset(TimePoint now);

    // Returns the endpoint in the slot, valid until the next call of apply(). Precondition: the slot exists.
    Endpoint& at(std::size_t slot) { return endpoints_[slot]; }

    // Returns all slots, free ones included, valid until the next call of apply().
    std::span<Endpoint> slots() { return endpoints_; }
    std::span<const Endpoint> slots() const { return endpoints_; }

    // Number of endpoints that are listed, draining ones included, or have an attempt in flight.
    std::size_t endpointCount() const { return slotByName_.size(); }

    // Capacity of the usable endpoints at the latest selection of the subset.
    const TotalCapacity& capacity() const { return capacity_; }

    // Whether a usable endpoint is neither warming up nor ejected.
    bool hasAvailableWarmEndpoint(TimePoint now) const;

private:
    void applyEntry(const EndpointEntry& entry);
    std::size_t findOrAssignSlot(const EndpointId& name);
    void releaseUnusedSlots();
    void rebuildSubset(TimePoint now);

    const SlowStart& slowStart_;
    const ConcurrencyLimiter& limiter_;
    std::vector<Endpoint> endpoints_;  // by slot
    std::unordered_map<EndpointId, std::size_t> slotByName_;
    std::vector<std::size_t> freeSlots_;
    TotalCapacity capacity_;
    EndpointSubset subset_;
};

}  // namespace gateway
