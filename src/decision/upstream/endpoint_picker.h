// Chooses the endpoint that receives an attempt.
#pragma once

#include <cstddef>
#include <optional>

#include "decision/common/random_source.h"
#include "decision/engine/request.h"
#include "decision/upstream/endpoint_set.h"
#include "decision/upstream/endpoint_stats.h"
#include "decision/upstream/slow_start.h"
#include "gateway/settings.h"

namespace gateway {

// Picks the endpoint with the lowest score. The score grows with the endpoint's load relative to its
// capacity, its slowness and its error rate. A choice draws at most one random number for each candidate, in
// the order of the slots.
class EndpointPicker {
public:
    // All arguments must outlive the picker.
    EndpointPicker(const Settings& settings, EndpointSet& endpoints, const EndpointStats& stats,
                   SlowStart& slowStart)
        : settings_(settings), endpoints_(endpoints), stats_(stats), slowStart_(slowStart) {}

    // Returns the slot of the endpoint for the next attempt of `request`, or nothing if no endpoint may
    // receive it. `work`: the request's work in requests of mean work. Also refreshes the subset, accrues
    // slow start tokens, and records the work as unserved if it returns nothing and no warm endpoint is
    // available.
    std::optional<std::size_t> pick(const Request& request, double work, TimePoint now, RandomSource& random);

private:
    // Which endpoints one pass over the slots considers.
    enum class Pass { insideSubset, outsideSubset };

    std::optional<std::size_t> pickInPass(Pass pass, bool avoidsEjected, const Request& request,
                                          TimePoint now, RandomSource& random);
    static bool isCandidate(const Endpoint& endpoint, Pass pass, bool avoidsEjected, TimePoint now);
    bool isEjectionAllowed(TimePoint now) const;
    bool mayRepeatAt(const Endpoint& endpoint, const Request& request) const;

    // Scores are dimensionless.
    double baseScore(const Endpoint& endpoint, double capacityShare, TimePoint now,
                     RandomSource& random) const;
    double expectedInFlight(const Endpoint& endpoint, double freshness) const;
    double applyPenaltyMultipliers(double score, std::size_t slot, const Endpoint& endpoint,
                                   const Request& request) const;
    const RequestClass& classOf(const Request& request) const;

    const Settings& settings_;
    EndpointSet& endpoints_;
    const EndpointStats& stats_;
    SlowStart& slowStart_;
};

}  // namespace gateway
