// Exponential backoff with full jitter.
#pragma once

#include <cstdint>
#include <random>

#include "gateway/types.h"

namespace gateway::net {

// Draws the waits between the attempts to reach a peer. Jitter spreads the gateways that lose a peer at the
// same moment, and growth takes load off a peer that can't keep up.
class Backoff {
public:
    // Preconditions: 0 < `initialBound` <= `maxBound`.
    Backoff(Duration initialBound, Duration maxBound, std::uint64_t seed);

    // Draws a wait evenly up to a bound that doubles with each call, from the initial to the max one.
    Duration next();

    // Draws a wait evenly up to `bound`, without growth. Returns 0 if `bound` is not above 0.
    Duration within(Duration bound);

    // Starts again from the initial bound.
    void reset();

private:
    Duration initialBound_;
    Duration maxBound_;
    Duration bound_{};  // of the latest wait; 0 after reset()
    std::mt19937_64 random_;
};

}  // namespace gateway::net
