// The endpoints that discovery lists, and the subset of them that this gateway uses.
#pragma once

#include <cstddef>
#include <span>
#include <unordered_map>
#include <vector>

#include "decision/upstream/concurrency_limiter.h"
#include "decision/upstream/endpoint.h"
#include "decision/upstream/slow_start.h"
#include "gateway/settings.h"

namespace gateway {

class EndpointSet {
public:
    // All arguments must outlive the set.
    EndpointSet(const Settings& settings, const SlowStart& slowStart, const ConcurrencyLimiter& limiter)
        : settings_(settings), slowStart_(slowStart), limiter_(limiter) {}

    // Takes in what discovery reported.
    void apply(const EndpointUpdate& update, TimePoint now);

    // Draws the subset anew if it is old: some endpoints have warmed up meanwhile.
    void refreshSubset(TimePoint now);

    // An endpoint keeps its slot while it is listed or has an attempt in flight.
    Endpoint& at(std::size_t slot) { return endpoints_[slot]; }
    std::span<Endpoint> slots() { return endpoints_; }

    // Endpoints that are listed, draining ones too, or have an attempt in flight.
    std::size_t listed() const { return slotByName_.size(); }

    const FleetCapacity& capacity() const { return capacity_; }

    // Some usable endpoint is neither warming up nor ejected.
    bool hasServingWarmEndpoint(TimePoint now) const;

private:
    std::size_t slotOf(const EndpointId& name);
    void applyEntry(const EndpointEntry& entry);
    void releaseSlots();
    void rebuildSubset(TimePoint now);
    void assignArc(std::vector<Endpoint*>& ring, double share) const;

    const Settings& settings_;
    const SlowStart& slowStart_;
    const ConcurrencyLimiter& limiter_;
    std::vector<Endpoint> endpoints_;
    std::unordered_map<EndpointId, std::size_t> slotByName_;
    std::vector<std::size_t> freeSlots_;
    FleetCapacity capacity_;
    TimePoint subsetDrawnAt_{};
};

}  // namespace gateway
