// How often the counter is called.
//
// Replies that come near the time-out or are turned away tell of a crowded counter: the rate of calls settles
// where few fail. A run of failures tells of a silent one: it is called a little to notice its return, and
// then half as often as before. Guards the counter from being hammered and requests from waiting in vain; a
// passing hiccup costs a little accuracy.
#pragma once

#include "decision/common/random_source.h"
#include "gateway/events.h"

namespace gateway {

class CounterSampler {
public:
    explicit CounterSampler(Duration counterTimeout) : counterTimeout_(counterTimeout) {}

    // Learns from a reply, or from what became of a call that got none.
    void observe(const CounterReplied& reply, TimePoint now);

    // Several calls in a row failed: nobody should wait for a reply.
    bool isSilent() const;

    // The counter takes less than a call for each request.
    bool isCrowded() const { return rate_ < 1; }

    // The counterSampleProbability of a request. A crowded counter is called where its reply is worth most;
    // the mean over all requests stays near the sample rate. `replyValue` is above 0, in any unit.
    double probabilityFor(double replyValue);

    // Draws whether a call that can wait goes out now.
    bool drawCall(RandomSource& random) const { return !isCrowded() || random.next() < rate_; }

    // How likely a charge that nothing else would carry is posted while the counter is crowded.
    double reconciliationProbability() const;

private:
    void noteFailure();

    Duration counterTimeout_;
    double rate_ = 1;  // counterSampleRate: share of requests that call the counter
    double rateBeforeFailures_ = 1;
    double quickestReply_ = 1;  // as a share of the time-out
    double meanReplyValue_ = 0;
    int consecutiveFailures_ = 0;
    TimePoint observedAt_{};
};

}  // namespace gateway
