#include "decision/upstream/outlier_detector.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "decision/common/arithmetic.h"

namespace gateway {
namespace {

constexpr double kErrorSmoothing = 0.15;     // weight of a new outcome in the error share
constexpr double kEjectionErrorShare = 0.3;  // error share at which an endpoint is ejected
constexpr double kFirstEjectionSeconds = 1;  // doubles with each further one in a row
constexpr double kMaxEjectionSeconds = 8;
constexpr double kMaxEjectedShare = 0.5;  // of the usable endpoints
constexpr int kMaxEjectionCount = 10;     // that lengthens an ejection

}  // namespace

void OutlierDetector::observe(EndpointHealth& health, Outcome outcome, TimePoint now) {
    switch (outcome) {
        case Outcome::ok:
            health.errorShare = movingAverage(health.errorShare, 0, kErrorSmoothing);
            if (std::exchange(health.onProbation, false))
                health.errorShare = std::min(health.errorShare, kEjectionErrorShare / 2);
            else if (health.errorShare < kEjectionErrorShare / 4)
                health.consecutiveEjections = 0;
            return;
        case Outcome::error:
        case Outcome::reset:
        case Outcome::rejected:
            health.errorShare = movingAverage(health.errorShare, 1, kErrorSmoothing);
            if (health.errorShare > kEjectionErrorShare || health.onProbation) eject(health, now);
            return;
        case Outcome::connectFailed:
            return eject(health, now);
        case Outcome::timedOut:
        case Outcome::cancelled:
        case Outcome::notSent:
            return;
    }
}

void OutlierDetector::eject(EndpointHealth& health, TimePoint now) {
    if (now < health.ejectedUntil) return;
    const double seconds = kFirstEjectionSeconds * std::exp2(health.consecutiveEjections);
    health.ejectedUntil = now + fromSeconds(std::min(kMaxEjectionSeconds, seconds));
    health.consecutiveEjections = std::min(health.consecutiveEjections + 1, kMaxEjectionCount);
    health.onProbation = true;
}

bool OutlierDetector::isEjected(const Endpoint& endpoint, TimePoint now) {
    const EndpointHealth& health = endpoint.health;
    return now < health.ejectedUntil || (health.onProbation && endpoint.inFlight > 0);
}

bool OutlierDetector::isEjectionHeeded(int ejected, int usable) {
    return ejected <= usable * kMaxEjectedShare;
}

}  // namespace gateway
