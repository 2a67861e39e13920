// Chooses the endpoint of an attempt.
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

class EndpointPicker {
public:
    // All arguments must outlive the picker.
    EndpointPicker(const Settings& settings, EndpointSet& endpoints, const EndpointStats& stats,
                   SlowStart& slowStart)
        : settings_(settings), endpoints_(endpoints), stats_(stats), slowStart_(slowStart) {}

    // The slot of the best endpoint for the next attempt of `request`, whose work is `relativeWork`; nothing
    // where none may take it.
    std::optional<std::size_t> pick(const Request& request, double relativeWork, TimePoint now,
                                    RandomSource& random);

private:
    std::optional<std::size_t> pickFrom(bool subset, const Request& request, TimePoint now,
                                        RandomSource& random);
    static bool isCandidate(const Endpoint& endpoint, bool subset, bool heedEjections, TimePoint now);
    bool areEjectionsHeeded(TimePoint now);
    bool dropsRepeatOf(const Endpoint& endpoint, const Request& request) const;
    double cost(const Endpoint& endpoint, double capacityShare, TimePoint now, RandomSource& random) const;
    const RequestClass& classOf(const Request& request) const {
        return settings_.classes[toPosition(request.arrival.requestClass)];
    }

    const Settings& settings_;
    EndpointSet& endpoints_;
    const EndpointStats& stats_;
    SlowStart& slowStart_;
};

}  // namespace gateway
