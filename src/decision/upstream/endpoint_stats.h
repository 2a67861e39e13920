// Fleet-wide view of the endpoints' load, and how far the view of one endpoint can still be trusted.
#pragma once

#include <cstddef>

#include "decision/upstream/endpoint_load.h"
#include "gateway/types.h"

namespace gateway {

// Invariant: the observation interval is never negative while time does not run backwards.
class EndpointStats {
public:
    // Precondition: called once, before the first observation.
    void start(TimePoint now) { observedAt_ = now; }

    // An attempt ended at one of `endpointCount` listed endpoints. `load` is the state of that endpoint
    // after the attempt.
    void observe(const EndpointLoad& load, std::size_t endpointCount, TimePoint now);

    // Weight of an endpoint's own state against the fleet's mean, from 1 down to 0. It decays with the age of
    // the latest outcome, more slowly where outcomes arrive rarely.
    double freshness(const EndpointLoad& load, TimePoint now) const;

    // Mean over the endpoints of the attempts that the other gateways have in flight at one of them.
    double meanRemoteInFlight() const { return meanRemoteInFlight_; }

    // Whether this gateway has low local traffic: too little to observe every endpoint often.
    bool hasLowLocalTraffic() const;

private:
    double meanRemoteInFlight_ = 0;
    double observationIntervalSeconds_ = 0;  // in which this gateway observes every endpoint once on average
    TimePoint observedAt_{};
};

}  // namespace gateway
