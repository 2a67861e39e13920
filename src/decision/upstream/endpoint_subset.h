// Deterministic subsetting: chooses the endpoints that this gateway uses in a large fleet.
//
// A connection costs an endpoint work and capacity, a new connection costs the request time, and a gateway
// observes each of a few endpoints more often than each of many. The subset is a run of neighbours on a
// sorted ring of the endpoints' names, so that every endpoint is in as many subsets as any other. Warm
// endpoints and those that are warming up have rings of their own, so that every subset has its share of
// both.
#pragma once

#include <span>
#include <vector>

#include "decision/upstream/endpoint.h"
#include "gateway/settings.h"

namespace gateway {

// Keeps the time of the latest selection; the endpoints hold their membership as Endpoint::subsetShare.
class EndpointSubset {
public:
    // Reads the settings only here.
    explicit EndpointSubset(const Settings& settings);

    // Whether the subset is due for a new selection: some endpoints have warmed up in the meantime.
    bool isStale(TimePoint now) const;

    // Chooses the members from `warm` and `warmingUp`, which are the usable ones among `endpoints`, and sets
    // the subset share of every endpoint. In a small fleet every endpoint stays a member.
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
