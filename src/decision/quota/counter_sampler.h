// Decides how often the counter service is called, so that calls do not overload the counter and requests do
// not wait for replies that are unlikely to come.
//
// Slow replies and failed calls indicate a congested counter; the sample rate then decreases until few calls
// fail. Several failures in a row indicate an unavailable counter; a small share of the calls continues, to
// detect its recovery. When the counter recovers, the sample rate is raised to half its value before
// the failures, if it is lower.
#pragma once

#include "decision/common/random_source.h"
#include "gateway/events.h"

namespace gateway {

class CounterSampler {
public:
    // `counterTimeout`: the time after which a call to the counter fails.
    explicit CounterSampler(Duration counterTimeout) : counterTimeout_(counterTimeout) {}

    // Adjusts the sample rate to a reply, or to the failure of a call.
    void recordReply(const CounterReplied& reply, TimePoint now);

    // Whether several calls in a row have failed, so that no request should wait for a reply.
    bool isUnavailable() const;

    // Whether fewer calls than one per request are made.
    bool isCongested() const { return sampleRate_ < 1; }

    // Records how much a counter reply would improve the admission decision on a request, for the mean of
    // this benefit over the requests. `replyBenefit` is above 0; its unit is arbitrary.
    void recordReplyBenefit(double replyBenefit);

    // Returns the probability with which a request calls the counter, given the benefit of the reply. During
    // congestion it is higher for replies of higher benefit; its mean over all requests stays near the sample
    // rate. Precondition: recordReplyBenefit() was called.
    double sampleProbability(double replyBenefit) const;

    // Returns whether to make a postponable call now. During congestion this is random; otherwise it is true
    // and no random number is drawn.
    bool shouldCallNow(RandomSource& random) const;

    // Returns the probability with which a pending charge that no other call would carry is posted to a
    // congested counter.
    double pendingChargeProbability() const;

private:
    void recordFailure();
    void recordSuccess(Duration elapsed, Duration idle);

    Duration counterTimeout_;
    double sampleRate_ = 1;  // mean share of the requests that call the counter
    double sampleRateBeforeFailures_ = 1;
    double quickestReplyShare_ = 1;  // time of the quickest reply, as a share of the timeout
    double meanReplyBenefit_ = 0;
    int consecutiveFailures_ = 0;
    TimePoint lastCallEndedAt_{};
};

}  // namespace gateway
