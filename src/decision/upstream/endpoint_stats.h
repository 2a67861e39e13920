// Statistics over all endpoints, and how up to date the statistics of one endpoint are.
#pragma once

#include <cstddef>

#include "decision/upstream/endpoint_load.h"
#include "gateway/types.h"

namespace gateway {

// Invariant: the observation interval is never negative, provided that times never decrease.
class EndpointStats {
public:
    // Precondition: called once, before the first observation.
    void start(TimePoint now) { observedAt_ = now; }

    // Records that an attempt ended at one of `endpointCount` listed endpoints. `load`: of that endpoint,
    // after the attempt.
    void observe(const EndpointLoad& load, std::size_t endpointCount, TimePoint now);

    // Weight of an endpoint's own statistics, from 0 to 1; the rest is the weight of the mean over all
    // endpoints. Decays with the age of the endpoint's latest outcome, more slowly if outcomes arrive rarely.
    double freshness(const EndpointLoad& load, TimePoint now) const;

    // Mean number of attempts that the other gateways have in flight at an endpoint.
    double meanRemoteInFlight() const { return meanRemoteInFlight_; }

    // Whether this gateway has too little traffic to observe every endpoint often.
    bool observesEndpointsRarely() const;

private:
    double meanRemoteInFlight_ = 0;
    double observationIntervalSeconds_ = 0;  // mean time between two outcomes of one endpoint
    TimePoint observedAt_{};
};

}  // namespace gateway
