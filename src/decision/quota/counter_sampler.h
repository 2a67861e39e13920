// Decides how often the counter service is called.
//
// Slow replies and rejected calls indicate a congested counter: the sample rate then settles where few calls
// fail. A run of failures indicates an unavailable counter: a small share of the calls continues, to notice
// its return, and the rate resumes at half of what it was. The sampler protects the counter from overload and
// requests from useless waits.
#pragma once

#include "decision/common/random_source.h"
#include "gateway/events.h"

namespace gateway {

// Owns the sample rate of one gateway. It keeps no reference to anything.
class CounterSampler {
public:
    // `counterTimeout`: after which a call to the counter counts as failed.
    explicit CounterSampler(Duration counterTimeout) : counterTimeout_(counterTimeout) {}

    // Adapts the rate to a reply, or to the failure of a call.
    void recordReply(const CounterReplied& reply, TimePoint now);

    // Whether several calls in a row have failed, so that no request should wait for a reply.
    bool isUnavailable() const;

    // Whether the counter takes less than one call per request.
    bool isCongested() const { return sampleRate_ < 1; }

    // Includes the value that the counter's reply would have for a request in the mean of these values.
    // `replyValue` is above 0, in any unit.
    void recordReplyValue(double replyValue);

    // The probability with which a request calls the counter, given the value of the reply. A congested
    // counter is called where the reply is worth most; the mean over all requests stays near the sample rate.
    // Precondition: recordReplyValue() was called.
    double sampleProbability(double replyValue) const;

    // Draws whether a call that can be postponed is made now. Without congestion it always is, and nothing is
    // drawn.
    bool drawPostponableCall(RandomSource& random) const;

    // The probability with which a reconciliation that no other call would carry is posted to a congested
    // counter.
    double reconciliationProbability() const;

private:
    void recordFailure();
    void recordTotal(Duration elapsed, Duration idle);

    Duration counterTimeout_;
    double sampleRate_ = 1;  // mean share of the requests that call the counter
    double sampleRateBeforeFailures_ = 1;
    double quickestReplyShare_ = 1;  // time of the quickest reply, as a share of the time-out
    double meanReplyValue_ = 0;
    int consecutiveFailures_ = 0;
    TimePoint repliedAt_{};
};

}  // namespace gateway
