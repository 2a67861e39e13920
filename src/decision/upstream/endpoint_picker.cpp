#include "decision/upstream/endpoint_picker.h"

#include <algorithm>
#include <limits>
#include <span>
#include <utility>

#include "decision/common/fleet_size.h"
#include "decision/upstream/outlier_detector.h"

namespace gateway {
namespace {

constexpr double kCrossZoneScoreMultiplier = 1.1;
constexpr double kProbationScoreMultiplier = 4;   // for requests that are not safe to retry
constexpr double kRepeatedScoreMultiplier = 100;  // for each earlier attempt of the request at the endpoint
constexpr double kErrorRateWeight = 3;
constexpr double kJitterShare = 0.1;  // keeps gateways with equal statistics from choosing the same endpoint
constexpr double kMinSlowness = 0.2;
constexpr double kMinEffectiveWeight = 1e-3;

}  // namespace

std::optional<std::size_t> EndpointPicker::pick(const Request& request, double work, TimePoint now,
                                                RandomSource& random) {
    endpoints_.refreshSubset(now);
    const bool avoidsEjected = isEjectionAllowed(now);
    std::optional<std::size_t> slot = pickInPass(Pass::insideSubset, avoidsEjected, request, now, random);
    if (!slot && isLargeFleet(settings_))
        slot = pickInPass(Pass::outsideSubset, avoidsEjected, request, now, random);
    if (!slot && !endpoints_.hasAvailableWarmEndpoint(now)) slowStart_.recordUnserved(work, now);
    return slot;
}

std::optional<std::size_t> EndpointPicker::pickInPass(Pass pass, bool avoidsEjected, const Request& request,
                                                      TimePoint now, RandomSource& random) {
    const std::span<Endpoint> slots = endpoints_.slots();
    std::optional<std::size_t> best;
    double lowestScore = std::numeric_limits<double>::infinity();
    for (std::size_t slot = 0; slot < slots.size(); ++slot) {
        Endpoint& endpoint = slots[slot];
        if (!isCandidate(endpoint, pass, avoidsEjected, now)) continue;
        const double capacityShare = slowStart_.capacityShare(endpoint.entry(), now);
        slowStart_.accrueTokens(endpoint, capacityShare, endpoints_.capacity());
        if (!SlowStart::mayReceiveAttempt(endpoint, capacityShare)) continue;
        if (!mayRepeatAt(endpoint, request)) continue;
        double score = baseScore(endpoint, capacityShare, now, random);
        score = applyPenaltyMultipliers(score, slot, endpoint, request);
        if (score >= lowestScore) continue;
        best = slot;
        lowestScore = score;
    }
    return best;
}

bool EndpointPicker::isCandidate(const Endpoint& endpoint, Pass pass, bool avoidsEjected, TimePoint now) {
    const bool isInPass = endpoint.isInSubset() == (pass == Pass::insideSubset);
    if (!isInPass || !endpoint.isUsable() || !endpoint.hasCapacity()) return false;
    return !avoidsEjected || !endpoint.isEjected(now);
}

bool EndpointPicker::isEjectionAllowed(TimePoint now) const {
    int usable = 0;
    int ejected = 0;
    for (const Endpoint& endpoint : std::as_const(endpoints_).slots()) {
        if (!endpoint.isUsable()) continue;
        ++usable;
        if (endpoint.isEjected(now)) ++ejected;
    }
    return OutlierDetector::isEjectionAllowed(ejected, usable);
}

// Whether the request may be sent to the endpoint without the risk that a second execution has an effect. A
// request that may have been executed and is not safe to retry needs an endpoint that recognizes its key.
bool EndpointPicker::mayRepeatAt(const Endpoint& endpoint, const Request& request) const {
    const RequestClass& terms = classOf(request);
    if (!request.possibleExecution || terms.idempotency == Idempotency::safe) return true;
    switch (terms.deduplicationScope) {
        case DeduplicationScope::all:
            return true;
        case DeduplicationScope::zone:
            return request.possibleExecution->zone == endpoint.entry().zone;
        case DeduplicationScope::cell:
            return request.possibleExecution->cell == endpoint.entry().cell;
    }
    return false;
}

double EndpointPicker::baseScore(const Endpoint& endpoint, double capacityShare, TimePoint now,
                                 RandomSource& random) const {
    // If this gateway rarely observes endpoints, it prefers one that is warming up as soon as the tokens of
    // that endpoint cover an attempt.
    if (stats_.observesEndpointsRarely() && capacityShare < 1) return 0;
    const double freshness = stats_.freshness(endpoint.load(), now);
    const double slowness = std::max(1 + (endpoint.load().slowness() - 1) * freshness, kMinSlowness);
    const double effectiveWeight = std::max(endpoint.entry().weight * capacityShare, kMinEffectiveWeight);
    double score = expectedInFlight(endpoint, freshness) / effectiveWeight * slowness;
    if (endpoint.entry().zone != settings_.zone) score *= kCrossZoneScoreMultiplier;
    return score * (1 + kErrorRateWeight * endpoint.outlier().errorRate() * freshness) *
           (1 + kJitterShare * random.next());
}

// Returns the attempts of all gateways that the endpoint would have in flight, the next one included.
double EndpointPicker::expectedInFlight(const Endpoint& endpoint, double freshness) const {
    // Without load reports in responses, every gateway is assumed to have as many in flight as this one.
    if (settings_.loadReportSource != LoadReportSource::inResponses)
        return 1 + endpoint.inFlight() * static_cast<double>(settings_.gatewayCount);
    const double mean = stats_.meanRemoteInFlight();
    return 1 + endpoint.inFlight() + mean + (endpoint.load().remoteInFlight() - mean) * freshness;
}

double EndpointPicker::applyPenaltyMultipliers(double score, std::size_t slot, const Endpoint& endpoint,
                                               const Request& request) const {
    if (endpoint.outlier().isOnProbation() && classOf(request).idempotency != Idempotency::safe)
        score *= kProbationScoreMultiplier;
    for (const Attempt& attempt : request.attempts)
        if (attempt.endpointSlot == slot) score *= kRepeatedScoreMultiplier;
    return score;
}

const RequestClass& EndpointPicker::classOf(const Request& request) const {
    return settings_.classes[toPosition(request.arrival.requestClass)];
}

}  // namespace gateway
