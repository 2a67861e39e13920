// What this gateway hears of endpoints' load, and how fresh that is.
#pragma once

#include <cstddef>

#include "decision/upstream/endpoint.h"
#include "decision/upstream/latency_stats.h"

namespace gateway {

class EndpointStats {
public:
    // To be called once, at this gateway's start.
    void start(TimePoint now) { observedAt_ = now; }

    // An attempt at one of `endpoints` listed endpoints ended, with or without a load report.
    void observe(Endpoint& endpoint, const AttemptEnded& ended, std::size_t endpoints, TimePoint now);

    // Its speed, from the same attempt.
    static void observeLatency(Endpoint& endpoint, const AttemptSample& sample);

    // Weight of what was heard of an endpoint, from 1 down to 0: it fades to the fleet's mean, at least as
    // slowly as all endpoints are heard of once.
    double freshness(const Endpoint& endpoint, TimePoint now) const;

    // Attempts of the other gateways at an endpoint, the mean over all.
    double meanOthersInFlight() const { return othersInFlight_; }

    // So little traffic comes here that endpoints are heard of seldom.
    bool isTrafficSparse() const;

private:
    double othersInFlight_ = 0;
    double observationSeconds_ = 0;  // in which this gateway hears of every endpoint once, about
    TimePoint observedAt_{};
};

}  // namespace gateway
