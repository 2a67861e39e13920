#include "decision/upstream/endpoint_picker.h"

#include <algorithm>
#include <limits>
#include <span>

#include "decision/common/fleet_size.h"
#include "decision/upstream/outlier_detector.h"

namespace gateway {
namespace {

constexpr double kCrossZoneFactor = 1.1;    // how much worse an endpoint in another zone is taken to be
constexpr double kProbationFactor = 4;      // the same on probation, for requests that may not be repeated
constexpr double kTriedBeforeFactor = 100;  // the same for one that had an attempt of this request
constexpr double kErrorWeight = 3;          // of the error share
constexpr double kJitter = 0.1;             // spreads gateways that see the same figures
constexpr double kMinSlowness = 0.2;
constexpr double kMinWeight = 1e-3;

}  // namespace

std::optional<std::size_t> EndpointPicker::pick(const Request& request, double relativeWork, TimePoint now,
                                                RandomSource& random) {
    endpoints_.refreshSubset(now);
    std::optional<std::size_t> slot = pickFrom(true, request, now, random);
    if (!slot && isLargeFleet(settings_)) slot = pickFrom(false, request, now, random);
    if (!slot && !endpoints_.hasServingWarmEndpoint(now)) slowStart_.noteUnserved(relativeWork, now);
    return slot;
}

std::optional<std::size_t> EndpointPicker::pickFrom(bool subset, const Request& request, TimePoint now,
                                                    RandomSource& random) {
    const bool heedEjections = areEjectionsHeeded(now);
    const bool isSafe = classOf(request).idempotency == Idempotency::safe;
    const std::span<Endpoint> slots = endpoints_.slots();
    std::optional<std::size_t> best;
    double lowestCost = std::numeric_limits<double>::infinity();
    for (std::size_t slot = 0; slot < slots.size(); ++slot) {
        Endpoint& endpoint = slots[slot];
        if (!isCandidate(endpoint, subset, heedEjections, now)) continue;
        const double capacityShare = slowStart_.capacityShare(endpoint.entry, now);
        if (!slowStart_.mayReceive(endpoint, capacityShare, endpoints_.capacity())) continue;
        if (!dropsRepeatOf(endpoint, request)) continue;
        double slotCost = cost(endpoint, capacityShare, now, random);
        if (endpoint.health.onProbation && !isSafe) slotCost *= kProbationFactor;
        for (const Attempt& attempt : request.attempts)
            if (attempt.endpointSlot == slot) slotCost *= kTriedBeforeFactor;
        if (slotCost >= lowestCost) continue;
        best = slot;
        lowestCost = slotCost;
    }
    return best;
}

bool EndpointPicker::isCandidate(const Endpoint& endpoint, bool subset, bool heedEjections, TimePoint now) {
    if (!endpoint.usable || !ConcurrencyLimiter::hasCapacity(endpoint)) return false;
    if (heedEjections && OutlierDetector::isEjected(endpoint, now)) return false;
    return subset == (endpoint.subsetShare > 0);
}

bool EndpointPicker::areEjectionsHeeded(TimePoint now) {
    int usable = 0;
    int ejected = 0;
    for (const Endpoint& endpoint : endpoints_.slots()) {
        if (!endpoint.usable) continue;
        ++usable;
        if (OutlierDetector::isEjected(endpoint, now)) ++ejected;
    }
    return OutlierDetector::isEjectionHeeded(ejected, usable);
}

// A request that may have run must reach an endpoint that drops its repeat, unless it may be repeated at
// will.
bool EndpointPicker::dropsRepeatOf(const Endpoint& endpoint, const Request& request) const {
    const RequestClass& terms = classOf(request);
    if (!request.possibleRun || terms.idempotency == Idempotency::safe) return true;
    switch (terms.deduplicationScope) {
        case DeduplicationScope::all:
            return true;
        case DeduplicationScope::zone:
            return request.possibleRun->zone == endpoint.entry.zone;
        case DeduplicationScope::cell:
            return request.possibleRun->cell == endpoint.entry.cell;
    }
    return false;
}

// The lower the better: the load for its capacity, its slowness and its errors.
double EndpointPicker::cost(const Endpoint& endpoint, double capacityShare, TimePoint now,
                            RandomSource& random) const {
    // With sparse traffic the attempts of one that is warming up were drawn by its budget: those go there.
    if (stats_.isTrafficSparse() && capacityShare < 1) return 0;
    const double freshness = stats_.freshness(endpoint, now);
    const double slowness = std::max(1 + (endpoint.load.slowness - 1) * freshness, kMinSlowness);
    const double mean = stats_.meanOthersInFlight();
    double load = 1 + endpoint.inFlight + mean + (endpoint.load.othersInFlight - mean) * freshness;
    if (settings_.loadReportSource != LoadReportSource::inResponses)
        load = 1 + endpoint.inFlight * static_cast<double>(settings_.gatewayCount);
    double value = load / std::max(endpoint.entry.weight * capacityShare, kMinWeight) * slowness;
    if (endpoint.entry.zone != settings_.zone) value *= kCrossZoneFactor;
    return value * (1 + kErrorWeight * endpoint.health.errorShare * freshness) *
           (1 + kJitter * random.next());
}

}  // namespace gateway
