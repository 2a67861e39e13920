// Slow start: limits the attempts that an endpoint receives while it is warming up.
//
// The work that the endpoints serve never exceeds their capacity, however high the demand is. Therefore the
// budget of an endpoint that is warming up grows with the work that all endpoints serve, in proportion to the
// endpoint's share of their capacity. The endpoint receives an attempt when its budget covers one.
//
// Each gateway has a budget of its own, and starts it with a fraction of an attempt. The endpoint's name and
// start time determine the fractions, which are spread evenly over the gateways. As a result, the gateways
// send their attempts in turn, and the sum of the attempts stays close to the sum of the budgets. Random
// fractions would add the variance of a Poisson process.
#pragma once

#include "decision/upstream/attempt_sample.h"
#include "decision/upstream/endpoint.h"
#include "decision/upstream/endpoint_stats.h"
#include "decision/upstream/total_capacity.h"
#include "gateway/settings.h"

namespace gateway {

// Computes the budgets, which the endpoints store as SlowStartTokens. Invariants: the served work never
// decreases; the shares of attempts that indicate overload lie between 0 and 1.
class SlowStart {
public:
    // Both arguments must outlive the object.
    SlowStart(const Settings& settings, const EndpointStats& stats) : settings_(settings), stats_(stats) {}

    // Share of its full capacity that an endpoint has now, from the initial share in the settings up to 1.
    double capacityShare(const EndpointEntry& entry, TimePoint now) const {
        return isRampOver(entry, now) ? 1 : rampShare(now - entry.startedAt);
    }

    // Whether the endpoint has less than its full capacity.
    bool isWarmingUp(const EndpointEntry& entry, TimePoint now) const {
        return capacityShare(entry, now) < 1;
    }

    // Starts the budget of an endpoint that has just started.
    void startTokens(Endpoint& endpoint) const;

    // Credits the endpoint's budget for the work served since its previous accrual. Does nothing for a warm
    // endpoint. `capacityShare`: of this endpoint. `total`: the capacity of all usable endpoints.
    void accrueTokens(Endpoint& endpoint, double capacityShare, const TotalCapacity& total) const;

    // Whether the endpoint may receive an attempt now; always true for a warm endpoint. Precondition:
    // accrueTokens() was called for the present time.
    static bool mayReceiveAttempt(const Endpoint& endpoint, double capacityShare);

    // Updates the share of attempts that indicate overload with an attempt at the endpoint that ended.
    // Ignores an attempt that neither indicates overload nor has a complete, unstreamed response.
    void observe(const Endpoint& endpoint, const AttemptSample& sample, TimePoint now);

    // Records that the endpoint served a request. `work`: in requests of mean work.
    void recordServed(const Endpoint& endpoint, double work, TimePoint now);

    // Records that no endpoint could receive a request of this work, and that no warm endpoint is available.
    void recordUnserved(double work, TimePoint now);

private:
    // Inline, since the picker calls this for every endpoint.
    bool isRampOver(const EndpointEntry& entry, TimePoint now) const {
        const Duration duration = settings_.slowStartDuration;
        return entry.startedAt <= TimePoint{} || duration <= Duration{} || now - entry.startedAt >= duration;
    }
    // Precondition: slow start is not over at this age. A negative age counts as 0.
    double rampShare(Duration age) const;

    double endpointCapacity(const Endpoint& endpoint, double capacityShare, const TotalCapacity& total) const;
    double totalCapacityWithReserve(const TotalCapacity& total) const;
    double budgetMultiplier(const TotalCapacity& total) const;

    const Settings& settings_;
    const EndpointStats& stats_;
    double servedWork_ = 0;                // by usable endpoints, in requests of mean work
    double overloadShareOfWarm_ = 0;       // share of attempts at warm endpoints that indicate overload
    double overloadShareOfWarmingUp_ = 0;  // and of those at endpoints that are warming up
    TimePoint servedAt_{};                 // time of the latest served request
};

}  // namespace gateway
