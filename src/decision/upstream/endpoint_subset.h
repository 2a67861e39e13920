// Deterministic subsetting: chooses the endpoints that this gateway uses in a large fleet.
//
// With fewer endpoints per gateway, endpoints hold fewer connections, requests wait for fewer new
// connections, and the gateway observes each endpoint more often. The subset is a contiguous range of a ring
// of the endpoints, sorted by name, so that every endpoint is in about the same number of subsets. Warm
// endpoints and those that are warming up are on separate rings, so that every subset contains the same share
// of both.
#pragma once

#include <span>
#include <vector>

#include "decision/upstream/endpoint.h"
#include "gateway/settings.h"

namespace gateway {

// Stores only the time of the latest selection. The endpoints store whether they are members, as
// Endpoint::subsetShare.
class EndpointSubset {
public:
    // Does not keep a reference to `settings`.
    explicit EndpointSubset(const Settings& settings);

    // Whether the subset must be selected again, since endpoints may have become warm.
    bool isStale(TimePoint now) const;

    // Chooses the members from `warm` and `warmingUp`, which are the usable ones among `endpoints`, and sets
    // the subset share of every endpoint. In a small fleet, every endpoint remains a member.
    void select(std::span<Endpoint> endpoints, std::vector<Endpoint*> warm, std::vector<Endpoint*> warmingUp,
                TimePoint now);

private:
    void selectFromRing(std::vector<Endpoint*>& ring, double share) const;

    int gatewayIndex_;
    int gatewayCount_;
    bool isLargeFleet_;
    TimePoint selectedAt_{};
};

}  // namespace gateway
