// Exponential backoff with full jitter.
#pragma once

#include <cstdint>
#include <random>

#include "gateway/types.h"

namespace gateway::net {

// Computes the waits between attempts to connect to a peer. The jitter keeps gateways that lose a peer at the
// same time from reconnecting together. The growing bound reduces the load on a peer that is overloaded.
class Backoff {
public:
    // Preconditions: 0 < `initialBound` <= `maxBound`.
    Backoff(Duration initialBound, Duration maxBound, std::uint64_t seed);

    // Returns a random wait, uniformly distributed up to a bound. The bound is `initialBound` for the first
    // call and doubles with each further call, up to `maxBound`.
    Duration next();

    // Returns a random wait, uniformly distributed up to `bound`. Does not change the bound of next().
    // Returns 0 if `bound` is 0 or less.
    Duration drawUpTo(Duration bound);

    // Sets the bound of the next call to next() back to `initialBound`.
    void reset();

private:
    Duration initialBound_;
    Duration maxBound_;
    Duration bound_{};  // of the latest next(); 0 before the first and after reset()
    std::mt19937_64 random_;
};

}  // namespace gateway::net
