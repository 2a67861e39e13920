#include "decision/upstream/endpoint_set.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "decision/common/fleet_size.h"
#include "decision/upstream/outlier_detector.h"

namespace gateway {
namespace {

constexpr double kMinSubsetSize = 8;  // endpoints that a gateway of a large fleet uses at least
constexpr double kMinGateways = 10;   // by which each endpoint is used at least
constexpr Duration kSubsetLifetime = std::chrono::seconds(1);

}  // namespace

void EndpointSet::apply(const EndpointUpdate& update, TimePoint now) {
    if (update.kind != UpdateKind::delta)
        for (Endpoint& endpoint : endpoints_) {  // what a snapshot lacks was removed
            endpoint.usable = false;
            endpoint.entry.availability = Availability::removed;
        }
    for (const EndpointEntry& entry : update.entries) applyEntry(entry);
    releaseSlots();
    rebuildSubset(now);
}

void EndpointSet::applyEntry(const EndpointEntry& entry) {
    Endpoint& endpoint = endpoints_[slotOf(entry.endpoint)];
    const bool restarted = entry.startedAt > endpoint.entry.startedAt;
    if (restarted) {  // what was known of the old process is void
        const int inFlight = endpoint.inFlight;
        endpoint = Endpoint{};
        endpoint.inFlight = inFlight;
        endpoint.limit.maxInFlight = limiter_.initialEndpointLimit();
    }
    endpoint.entry = entry;
    endpoint.usable = entry.availability == Availability::up;
    if (restarted) slowStart_.onStart(endpoint);
}

std::size_t EndpointSet::slotOf(const EndpointId& name) {
    const std::size_t next = freeSlots_.empty() ? endpoints_.size() : freeSlots_.back();
    const auto [found, added] = slotByName_.try_emplace(name, next);
    if (!added) return found->second;
    if (next == endpoints_.size())
        endpoints_.emplace_back();
    else
        freeSlots_.pop_back();
    endpoints_[next].limit.maxInFlight = limiter_.initialEndpointLimit();
    return next;
}

// Endpoints that were removed leave their slots once no attempt is in flight there: in a fleet that is
// replaced all day they would be walked for every choice.
void EndpointSet::releaseSlots() {
    std::erase_if(slotByName_, [&](const auto& named) {
        Endpoint& endpoint = endpoints_[named.second];
        if (endpoint.entry.availability != Availability::removed || endpoint.inFlight > 0) return false;
        endpoint = Endpoint{};
        freeSlots_.push_back(named.second);
        return true;
    });
}

void EndpointSet::refreshSubset(TimePoint now) {
    if (now - subsetDrawnAt_ > kSubsetLifetime) rebuildSubset(now);
}

// Deterministic subsetting. In a large fleet each gateway uses a part of the endpoints: a connection costs an
// endpoint work and room, a new one costs the request time, and of fewer endpoints each is heard of more
// often. The parts are arcs of the sorted names, so that each endpoint is in as many as any other; those that
// are warming up and warm ones have arcs of their own, so that each part has its share of both.
void EndpointSet::rebuildSubset(TimePoint now) {
    subsetDrawnAt_ = now;
    const FleetCapacity previous = std::exchange(capacity_, FleetCapacity{});
    std::vector<Endpoint*> warm;
    std::vector<Endpoint*> warmingUp;
    for (Endpoint& endpoint : endpoints_) {
        if (endpoint.usable) {
            const double share = slowStart_.capacityShare(endpoint.entry, now);
            if (share < 1) slowStart_.accrue(endpoint, share, previous);  // by its share of the old subset
            capacity_.weight += endpoint.entry.weight;
            capacity_.effectiveWeight += endpoint.entry.weight * share;
            (share < 1 ? warmingUp : warm).push_back(&endpoint);
        }
        if (isLargeFleet(settings_)) endpoint.subsetShare = 0;
    }
    capacity_.hasWarmEndpoint = !warm.empty();
    if (!isLargeFleet(settings_)) return;
    const double usable = static_cast<double>(warm.size() + warmingUp.size());
    const double used = std::max(kMinSubsetSize, usable * kMinGateways / settings_.gatewayCount);
    assignArc(warm, used / usable);
    assignArc(warmingUp, used / usable);
}

void EndpointSet::assignArc(std::vector<Endpoint*>& ring, double share) const {
    if (ring.empty()) return;
    std::sort(ring.begin(), ring.end(),
              [](const Endpoint* a, const Endpoint* b) { return a->entry.endpoint < b->entry.endpoint; });
    const double size = static_cast<double>(ring.size());
    const auto length = static_cast<std::size_t>(std::min(size, std::ceil(size * share)));
    const auto from = static_cast<std::size_t>(size * settings_.gatewayIndex / settings_.gatewayCount);
    for (std::size_t i = 0; i < length; ++i)
        ring[(from + i) % ring.size()]->subsetShare = static_cast<double>(length) / size;
}

bool EndpointSet::hasServingWarmEndpoint(TimePoint now) const {
    return std::any_of(endpoints_.begin(), endpoints_.end(), [&](const Endpoint& endpoint) {
        return endpoint.usable && !OutlierDetector::isEjected(endpoint, now) &&
               !slowStart_.isWarmingUp(endpoint, now);
    });
}

}  // namespace gateway
