#include "decision/quota/counter_sampler.h"

#include <algorithm>
#include <cmath>

#include "decision/common/arithmetic.h"

namespace gateway {
namespace {

constexpr double kMinSampleRate = 0.1;  // the remaining calls detect the counter's recovery
constexpr double kSampleRateIncreasePerReply = 0.01;
constexpr double kSampleRateIncreasePerIdleSecond = 0.05;
constexpr Duration kMaxIdle = std::chrono::seconds(2);
constexpr double kSampleRateMultiplierOnFailure = 0.75;
constexpr double kSampleRateMultiplierOnSlowReply = 0.97;
constexpr double kSlowReplyShare = 0.3;  // of the interval from the quickest reply's time to the timeout
constexpr int kUnavailableFailures = 4;  // in a row
constexpr double kReplyBenefitSmoothing = 0.02;
constexpr double kMinPendingChargeProbability = 0.25;
constexpr double kMinProbabilityExponent = 0.2;
constexpr double kMaxProbabilityExponent = 4.0;
constexpr double kMinReplyBenefit = 1e-9;  // avoids a division by zero
constexpr Duration kMinTimeout{1};         // avoids a division by zero

}  // namespace

void CounterSampler::recordReply(const CounterReplied& reply, TimePoint now) {
    const Duration idle = now - lastCallEndedAt_;
    lastCallEndedAt_ = now;
    if (reply.outcome == Outcome::ok) {
        recordSuccess(reply.elapsed, idle);
        return;
    }
    // A single broken connection or malformed reply does not indicate congestion.
    const bool indicatesCongestion =
        reply.outcome != Outcome::reset || consecutiveFailures_ + 1 >= kUnavailableFailures;
    recordFailure();
    if (indicatesCongestion)
        sampleRate_ = std::max(kMinSampleRate, sampleRate_ * kSampleRateMultiplierOnFailure);
}

void CounterSampler::recordFailure() {
    if (consecutiveFailures_ == 0) sampleRateBeforeFailures_ = sampleRate_;
    ++consecutiveFailures_;
}

void CounterSampler::recordSuccess(Duration elapsed, Duration idle) {
    const double timeoutShare = toSeconds(elapsed) / toSeconds(std::max(counterTimeout_, kMinTimeout));
    quickestReplyShare_ = std::min(quickestReplyShare_, timeoutShare);
    if (isUnavailable()) sampleRate_ = std::max(sampleRate_, sampleRateBeforeFailures_ / 2);
    consecutiveFailures_ = 0;
    const bool isSlow = timeoutShare > quickestReplyShare_ + (1 - quickestReplyShare_) * kSlowReplyShare;
    if (isSlow) {
        sampleRate_ = std::max(kMinSampleRate, sampleRate_ * kSampleRateMultiplierOnSlowReply);
        return;
    }
    const double idleSeconds = toSeconds(std::min(idle, kMaxIdle));
    sampleRate_ = std::min(
        1.0, sampleRate_ + kSampleRateIncreasePerReply + kSampleRateIncreasePerIdleSecond * idleSeconds);
}

bool CounterSampler::isUnavailable() const {
    return consecutiveFailures_ >= kUnavailableFailures;
}

void CounterSampler::recordReplyBenefit(double replyBenefit) {
    const bool isFirst = meanReplyBenefit_ <= 0;
    meanReplyBenefit_ =
        isFirst ? replyBenefit : movingAverage(meanReplyBenefit_, replyBenefit, kReplyBenefitSmoothing);
}

double CounterSampler::sampleProbability(double replyBenefit) const {
    if (!isCongested()) return 1;
    const double exponent = meanReplyBenefit_ / std::max(replyBenefit, kMinReplyBenefit);
    return std::pow(sampleRate_, std::clamp(exponent, kMinProbabilityExponent, kMaxProbabilityExponent));
}

bool CounterSampler::shouldCallNow(RandomSource& random) const {
    if (!isCongested()) return true;
    return random.next() < sampleRate_;
}

double CounterSampler::pendingChargeProbability() const {
    return std::max(sampleRate_, kMinPendingChargeProbability);
}

}  // namespace gateway
