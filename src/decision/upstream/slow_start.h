// Slow start: limits the attempts that an endpoint receives while it is warming up.
//
// What the endpoints serve never exceeds their capacity, however high the demand is. So the budget of an
// endpoint that is warming up grows with the work that the fleet serves, in proportion to the endpoint's
// share of the fleet's capacity. The endpoint receives an attempt when the budget covers one. Each gateway
// starts with a fraction of an attempt that is spread evenly over the gateways by the endpoint's name and
// start time. So the gateways take turns, and the sum of their attempts stays close to the sum of their
// budgets; random fractions would add a Poisson spread.
#pragma once

#include "decision/upstream/attempt_sample.h"
#include "decision/upstream/endpoint.h"
#include "decision/upstream/endpoint_stats.h"
#include "decision/upstream/fleet_capacity.h"
#include "gateway/settings.h"

namespace gateway {

// Decides on the budgets, which the endpoints hold as SlowStartTokens. Invariants: the served work never
// decreases; the shares of slow responses lie between 0 and 1.
class SlowStart {
public:
    // Both arguments must outlive the object.
    SlowStart(const Settings& settings, const EndpointStats& stats) : settings_(settings), stats_(stats) {}

    // Share of its full capacity that an endpoint has now, from the settings' initial share up to 1.
    double capacityShare(const EndpointEntry& entry, TimePoint now) const {
        return isRampOver(entry, now) ? 1 : rampShare(now - entry.startedAt);
    }

    // Whether the endpoint has less than its full capacity.
    bool isWarmingUp(const EndpointEntry& entry, TimePoint now) const {
        return capacityShare(entry, now) < 1;
    }

    // Starts the budget of an endpoint that has just started.
    void startTokens(Endpoint& endpoint) const;

    // Credits the work that the fleet has served since the endpoint's previous accrual to its budget. Does
    // nothing for a warm endpoint. `capacityShare` is that of the endpoint.
    void accrueTokens(Endpoint& endpoint, double capacityShare, const FleetCapacity& fleet) const;

    // Whether the endpoint may receive an attempt now. A warm endpoint always may. Precondition: its tokens
    // have accrued up to now.
    static bool mayReceiveAttempt(const Endpoint& endpoint, double capacityShare);

    // Learns from an attempt at the endpoint that ended.
    void observe(const Endpoint& endpoint, const AttemptSample& sample, TimePoint now);

    // The endpoint served a request. `work`: in requests of mean work.
    void recordServed(const Endpoint& endpoint, double work, TimePoint now);

    // No endpoint could receive a request of this work, and no warm endpoint is available.
    void recordUnserved(double work, TimePoint now);

private:
    // Inline, since the picker asks this for every endpoint.
    bool isRampOver(const EndpointEntry& entry, TimePoint now) const {
        const Duration duration = settings_.slowStartDuration;
        return entry.startedAt <= TimePoint{} || duration <= Duration{} || now - entry.startedAt >= duration;
    }
    // Precondition: the ramp is not over at this age. A negative age counts as 0.
    double rampShare(Duration age) const;

    double endpointCapacity(const Endpoint& endpoint, double capacityShare, const FleetCapacity& fleet) const;
    double fleetCapacity(const FleetCapacity& fleet) const;
    double budgetMultiplier(const FleetCapacity& fleet) const;

    const Settings& settings_;
    const EndpointStats& stats_;
    double servedWork_ = 0;            // by usable endpoints, in requests of mean work
    double slowShareOfWarm_ = 0;       // share of slow responses among those of warm endpoints
    double slowShareOfWarmingUp_ = 0;  // and among those of endpoints that are warming up
    TimePoint servedAt_{};             // time of the latest success
};

}  // namespace gateway
