// Limits attempts in flight, over all endpoints and at each.
//
// The limit over all settles where few responses are slow. It guards against queues that leave nobody in
// time, whatever fills them: overload, a shrunken fleet, crowded machines. Costly requests lower it too,
// which costs throughput only while the limit is reached.
#pragma once

#include <cstddef>

#include "decision/common/random_source.h"
#include "decision/upstream/endpoint.h"
#include "decision/upstream/latency_stats.h"
#include "gateway/settings.h"

namespace gateway {

class ConcurrencyLimiter {
public:
    explicit ConcurrencyLimiter(const Settings& settings);

    // To be called when the endpoint set is known; its size sets the first limit.
    void onEndpointSet(std::size_t endpoints);

    // What a new endpoint's limit starts with.
    double initialEndpointLimit() const;

    // Whether another attempt may begin. A limit below one attempt is drawn by chance.
    bool hasCapacity(RandomSource& random) const { return inFlight_ + random.next() < maxInFlight_; }
    static bool hasCapacity(const Endpoint& endpoint) {
        return endpoint.inFlight + 1 <= endpoint.limit.maxInFlight;
    }

    void begin(Endpoint& endpoint);
    void end(Endpoint& endpoint);

    // Learns from an attempt that ended.
    void observe(const AttemptSample& sample, Outcome outcome);
    static void observe(Endpoint& endpoint, const AttemptSample& sample, TimePoint now);

private:
    double initialShare_;  // of one endpoint's capacity that this gateway starts with, in attempts
    int inFlight_ = 0;
    double maxInFlight_ = 0;             // 0: the endpoint set is not known yet
    double medianObjectiveShare_ = 0.2;  // of responses' times, as shares of their latency objectives
};

}  // namespace gateway
