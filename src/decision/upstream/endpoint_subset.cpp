#include "decision/upstream/endpoint_subset.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>

#include "decision/common/fleet_size.h"

namespace gateway {
namespace {

constexpr double kMinSubsetSize = 8;  // endpoints for each gateway
constexpr double kMinGatewaysPerEndpoint = 10;
constexpr Duration kSubsetLifetime = std::chrono::seconds(1);

bool isNameLess(const Endpoint* a, const Endpoint* b) {
    return a->entry().id < b->entry().id;
}

}  // namespace

EndpointSubset::EndpointSubset(const Settings& settings)
    : gatewayIndex_(settings.gatewayIndex),
      gatewayCount_(settings.gatewayCount),
      isLargeFleet_(isLargeFleet(settings)) {}

bool EndpointSubset::isStale(TimePoint now) const {
    return now - selectedAt_ > kSubsetLifetime;
}

void EndpointSubset::select(std::span<Endpoint> endpoints, std::vector<Endpoint*> warm,
                            std::vector<Endpoint*> warmingUp, TimePoint now) {
    selectedAt_ = now;
    if (!isLargeFleet_) return;
    for (Endpoint& endpoint : endpoints) endpoint.setSubsetShare(0);
    const double usable = static_cast<double>(warm.size() + warmingUp.size());
    if (usable == 0) return;
    const double size = std::max(kMinSubsetSize, usable * kMinGatewaysPerEndpoint / gatewayCount_);
    selectFromRing(warm, size / usable);
    selectFromRing(warmingUp, size / usable);
}

// Adds a range of the ring to the subset. `share`: its length relative to the ring. The gateway's index
// determines its first endpoint.
void EndpointSubset::selectFromRing(std::vector<Endpoint*>& ring, double share) const {
    if (ring.empty()) return;
    std::sort(ring.begin(), ring.end(), isNameLess);
    const double ringSize = static_cast<double>(ring.size());
    const auto length = static_cast<std::size_t>(std::min(ringSize, std::ceil(ringSize * share)));
    const auto first = static_cast<std::size_t>(ringSize * gatewayIndex_ / gatewayCount_);
    for (std::size_t i = 0; i < length; ++i)
        ring[(first + i) % ring.size()]->setSubsetShare(static_cast<double>(length) / ringSize);
}

}  // namespace gateway
