#include "decision/endpoint_picker.h"

#include <algorithm>

#include "decision/fleet_size.h"
#include "decision/outlier_detector.h"

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

std::optional<std::size_t> EndpointPicker::pick(const Request& request, double relativeWork, Time now,
                                                RandomSource& random) {
    endpoints_.refreshSubset(now);
    std::optional<std::size_t> slot = pickFrom(true, request, now, random);
    if (!slot && isLargeFleet(settings_)) slot = pickFrom(false, request, now, random);
    if (!slot && !endpoints_.hasServingWarmEndpoint(now)) slowStart_.noteUnserved(relativeWork, now);
    return slot;
}

std::optional<std::size_t> EndpointPicker::pickFrom(bool subset, const Request& request, Time now,
                                                    RandomSource& random) {
    const bool heedEjections = areEjectionsHeeded(now);
    std::optional<std::size_t> best;
    double lowestCost = 0;
    for (std::size_t slot = 0; slot < endpoints_.slots(); ++slot) {
        Endpoint& endpoint = endpoints_.at(slot);
        if (!isEligible(endpoint, subset, heedEjections, request, now)) continue;
        double slotCost = cost(endpoint, now, random);
        if (endpoint.health.onProbation && classOf(request).idempotency != Idempotency::safe)
            slotCost *= kProbationFactor;
        for (const Attempt& attempt : request.attempts)
            if (attempt.endpointSlot == slot) slotCost *= kTriedBeforeFactor;
        if (best && slotCost >= lowestCost) continue;
        best = slot;
        lowestCost = slotCost;
    }
    return best;
}

bool EndpointPicker::isEligible(Endpoint& endpoint, bool subset, bool heedEjections, const Request& request,
                                Time now) {
    if (!endpoint.usable || !ConcurrencyLimiter::hasCapacity(endpoint)) return false;
    if (heedEjections && OutlierDetector::isEjected(endpoint, now)) return false;
    if (subset != (endpoint.subsetShare > 0)) return false;
    if (!slowStart_.mayReceive(endpoint, endpoints_.capacity(), now)) return false;
    return dropsRepeatOf(endpoint, request);
}

bool EndpointPicker::areEjectionsHeeded(Time now) const {
    int usable = 0;
    int ejected = 0;
    for (std::size_t slot = 0; slot < endpoints_.slots(); ++slot) {
        const Endpoint& endpoint = endpoints_.at(slot);
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
double EndpointPicker::cost(const Endpoint& endpoint, Time now, RandomSource& random) const {
    const double capacityShare = slowStart_.capacityShare(endpoint.entry, now);
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
