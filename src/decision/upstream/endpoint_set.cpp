#include "decision/upstream/endpoint_set.h"

#include <algorithm>
#include <utility>

namespace gateway {

void EndpointSet::apply(const EndpointUpdate& update, TimePoint now) {
    // Every update except a delta lists all endpoints, so an endpoint that it does not list was removed.
    if (update.kind != UpdateKind::delta)
        for (Endpoint& endpoint : endpoints_) endpoint.markRemoved();
    for (const EndpointEntry& entry : update.entries) applyEntry(entry);
    releaseUnusedSlots();
    rebuildSubset(now);
}

void EndpointSet::applyEntry(const EndpointEntry& entry) {
    Endpoint& endpoint = endpoints_[findOrAssignSlot(entry.id)];
    const bool hasRestarted = endpoint.applyEntry(entry, limiter_.initialEndpointLimit());
    if (hasRestarted) slowStart_.startTokens(endpoint);
}

std::size_t EndpointSet::findOrAssignSlot(const EndpointId& name) {
    const std::size_t next = freeSlots_.empty() ? endpoints_.size() : freeSlots_.back();
    const auto [found, isNew] = slotByName_.try_emplace(name, next);
    if (!isNew) return found->second;
    if (freeSlots_.empty())
        endpoints_.emplace_back(limiter_.initialEndpointLimit());
    else
        freeSlots_.pop_back();
    return next;
}

// Frees the slots of removed endpoints. Otherwise the number of slots would grow without bound where
// endpoints are replaced often, and the picker iterates over every slot for each attempt.
void EndpointSet::releaseUnusedSlots() {
    for (auto iter = slotByName_.begin(); iter != slotByName_.end();) {
        Endpoint& endpoint = endpoints_[iter->second];
        if (!endpoint.isUnused()) {
            ++iter;
            continue;
        }
        endpoint = Endpoint(limiter_.initialEndpointLimit());
        freeSlots_.push_back(iter->second);
        iter = slotByName_.erase(iter);
    }
}

void EndpointSet::refreshSubset(TimePoint now) {
    if (subset_.isStale(now)) rebuildSubset(now);
}

void EndpointSet::rebuildSubset(TimePoint now) {
    TotalCapacity capacity;
    std::vector<Endpoint*> warm;
    std::vector<Endpoint*> warmingUp;
    warm.reserve(endpoints_.size());
    warmingUp.reserve(endpoints_.size());
    for (Endpoint& endpoint : endpoints_) {
        if (!endpoint.isUsable()) continue;
        const double capacityShare = slowStart_.capacityShare(endpoint.entry(), now);
        // Tokens for the time until now accrue by the previous total capacity and subset.
        slowStart_.accrueTokens(endpoint, capacityShare, capacity_);
        capacity.add(endpoint.entry().weight, capacityShare);
        std::vector<Endpoint*>& ring = capacityShare < 1 ? warmingUp : warm;
        ring.push_back(&endpoint);
    }
    capacity_ = capacity;
    subset_.select(endpoints_, std::move(warm), std::move(warmingUp), now);
}

bool EndpointSet::hasAvailableWarmEndpoint(TimePoint now) const {
    return std::any_of(endpoints_.begin(), endpoints_.end(), [&](const Endpoint& endpoint) {
        return endpoint.isUsable() && !endpoint.isEjected(now) &&
               !slowStart_.isWarmingUp(endpoint.entry(), now);
    });
}

}  // namespace gateway
