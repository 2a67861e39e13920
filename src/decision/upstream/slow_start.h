// Slow start: the budget of an endpoint that is warming up.
//
// What the endpoints serve is at most what they can, however much is asked for. So of each response an
// endpoint that is warming up accrues its share here, and is sent an attempt when that has come up to one.
// Each gateway starts with a part of an attempt that is spread evenly over the gateways by the endpoint's
// name and start, so that their turns come one after the other and the sum of all keeps to what was accrued;
// drawn by each alone it would add up to a Poisson spread.
#pragma once

#include "decision/upstream/endpoint.h"
#include "decision/upstream/endpoint_stats.h"
#include "decision/upstream/latency_stats.h"
#include "gateway/settings.h"

namespace gateway {

// The usable endpoints' weights, summed up.
struct FleetCapacity {
    double weight = 0;           // all weights
    double effectiveWeight = 0;  // less for endpoints that are warming up
    bool hasWarmEndpoint = false;
};

class SlowStart {
public:
    // Both arguments must outlive the object.
    SlowStart(const Settings& settings, const EndpointStats& stats) : settings_(settings), stats_(stats) {}

    // The share of its full capacity that an endpoint has, above 0 up to 1.
    double capacityShare(const EndpointEntry& entry, TimePoint now) const;
    bool isWarmingUp(const Endpoint& endpoint, TimePoint now) const {
        return capacityShare(endpoint.entry, now) < 1;
    }

    // The endpoint has just started.
    void onStart(Endpoint& endpoint) const;

    // Credits what the fleet has served since the endpoint's tokens last accrued.
    void accrue(Endpoint& endpoint, double capacityShare, const FleetCapacity& fleet) const;

    // Whether the endpoint may be sent an attempt now; one that is not warming up always may.
    bool mayReceive(Endpoint& endpoint, double capacityShare, const FleetCapacity& fleet) const;

    // An attempt of this work is sent to the endpoint.
    static void spend(Endpoint& endpoint, double relativeWork) { endpoint.slowStart.tokens -= relativeWork; }

    // Learns from an attempt that ended.
    void observe(const Endpoint& endpoint, const AttemptSample& sample, TimePoint now);

    // An endpoint answered a request of this work with success.
    void noteServed(const Endpoint& endpoint, double relativeWork, TimePoint now);

    // No endpoint could take a request of this work, and none of them is warm.
    void noteUnserved(double relativeWork, TimePoint now);

private:
    double budgetMultiple(const FleetCapacity& fleet) const;

    const Settings& settings_;
    const EndpointStats& stats_;
    double servedWork_ = 0;          // by usable endpoints, in requests of mean work
    double slowShareWarm_ = 0;       // share of slow responses of warm endpoints
    double slowShareWarmingUp_ = 0;  // and of those that are warming up
    TimePoint servedAt_{};           // the latest success
};

}  // namespace gateway
