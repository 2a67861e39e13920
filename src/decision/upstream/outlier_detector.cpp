#include "decision/upstream/outlier_detector.h"

#include <algorithm>
#include <chrono>

#include "decision/common/arithmetic.h"

namespace gateway {
namespace {

constexpr double kErrorRateSmoothing = 0.15;  // weight of a new outcome
constexpr double kEjectionErrorRate = 0.3;    // an endpoint with a higher error rate is ejected
constexpr double kProbationErrorRate =
    kEjectionErrorRate / 2;                                   // max after probation, to allow for one failure
constexpr double kHealthyErrorRate = kEjectionErrorRate / 4;  // a lower one ends a series of ejections
constexpr Duration kFirstEjection = std::chrono::seconds(1);  // doubles with each consecutive ejection
constexpr Duration kMaxEjection = std::chrono::seconds(8);
constexpr int kMaxConsecutiveEjections = 10;  // that are counted
constexpr double kMaxEjectedShare = 0.5;      // of the usable endpoints

}  // namespace

void OutlierDetector::observe(Outcome outcome, TimePoint now) {
    switch (outcome) {
        case Outcome::ok:
            recordSuccess();
            break;
        case Outcome::error:
        case Outcome::reset:
        case Outcome::rejected:
            recordFailure(now);
            break;
        case Outcome::connectFailed:
            eject(now);
            break;
        case Outcome::timedOut:
        case Outcome::cancelled:
        case Outcome::notSent:
            break;
    }
}

void OutlierDetector::recordSuccess() {
    errorRate_ = movingAverage(errorRate_, 0, kErrorRateSmoothing);
    if (onProbation_) {
        onProbation_ = false;
        errorRate_ = std::min(errorRate_, kProbationErrorRate);
    } else if (errorRate_ < kHealthyErrorRate) {
        consecutiveEjections_ = 0;
    }
}

void OutlierDetector::recordFailure(TimePoint now) {
    errorRate_ = movingAverage(errorRate_, 1, kErrorRateSmoothing);
    if (errorRate_ > kEjectionErrorRate || onProbation_) eject(now);
}

void OutlierDetector::eject(TimePoint now) {
    if (now < ejectedUntil_) return;
    ejectedUntil_ = now + std::min(kMaxEjection, kFirstEjection * (1 << consecutiveEjections_));
    consecutiveEjections_ = std::min(consecutiveEjections_ + 1, kMaxConsecutiveEjections);
    onProbation_ = true;
}

bool OutlierDetector::isEjectionAllowed(int ejected, int usable) {
    return ejected <= usable * kMaxEjectedShare;
}

}  // namespace gateway
