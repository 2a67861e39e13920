#include "decision/quota/counter_sampler.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "decision/common/arithmetic.h"

namespace gateway {
namespace {

constexpr double kMinRate = 0.1;              // of requests that still call a failing counter
constexpr double kRateIncrease = 0.01;        // on a quick reply
constexpr double kRateIncreaseIdle = 0.05;    // for each second since the reply before
constexpr double kMaxIdleSeconds = 2.0;       // that count for that
constexpr double kRateCutOnFailure = 0.75;    // factor
constexpr double kRateCutOnSlowReply = 0.97;  // factor
constexpr double kSlowReply = 0.3;            // slow: this far from the quickest reply's time to the time-out
constexpr int kSilentFailures = 4;            // in a row
constexpr double kValueSmoothing = 0.02;      // weight of a new reply's value in their mean
constexpr double kMinReconciliationProbability = 0.25;
constexpr double kMinExponent = 0.2;  // bounds how far a reply's value moves its probability
constexpr double kMaxExponent = 4.0;
constexpr double kTiny = 1e-9;      // against division by zero
constexpr double kTinyTime = 1e-6;  // s

}  // namespace

void CounterSampler::observe(const CounterReplied& reply, TimePoint now) {
    const double idle = std::min(toSeconds(now - std::exchange(observedAt_, now)), kMaxIdleSeconds);
    // A connection that broke, or a reply that can't be read, tells nothing of how crowded the counter is.
    if (reply.outcome == Outcome::reset && consecutiveFailures_ + 1 < kSilentFailures) return noteFailure();
    if (reply.outcome != Outcome::ok) {
        noteFailure();
        rate_ = std::max(kMinRate, rate_ * kRateCutOnFailure);
        return;
    }
    const double time = toSeconds(reply.elapsed) / std::max(toSeconds(counterTimeout_), kTinyTime);
    quickestReply_ = std::min(quickestReply_, time);
    if (isSilent()) rate_ = std::max(rate_, rateBeforeFailures_ / 2);
    consecutiveFailures_ = 0;
    const bool slow = time > quickestReply_ + (1 - quickestReply_) * kSlowReply;
    rate_ = slow ? std::max(kMinRate, rate_ * kRateCutOnSlowReply)
                 : std::min(1.0, rate_ + kRateIncrease + kRateIncreaseIdle * idle);
}

void CounterSampler::noteFailure() {
    if (consecutiveFailures_++ == 0) rateBeforeFailures_ = rate_;
}

bool CounterSampler::isSilent() const {
    return consecutiveFailures_ >= kSilentFailures;
}

double CounterSampler::probabilityFor(double replyValue) {
    meanReplyValue_ =
        meanReplyValue_ > 0 ? movingAverage(meanReplyValue_, replyValue, kValueSmoothing) : replyValue;
    if (!isCrowded()) return 1;
    const double exponent = meanReplyValue_ / std::max(replyValue, kTiny);
    return std::pow(rate_, std::clamp(exponent, kMinExponent, kMaxExponent));
}

double CounterSampler::reconciliationProbability() const {
    return std::max(rate_, kMinReconciliationProbability);
}

}  // namespace gateway
