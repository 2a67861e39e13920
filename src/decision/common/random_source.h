// Random numbers of one decision engine.
#pragma once

#include <cstdint>
#include <random>

#include "decision/common/unit_interval.h"

namespace gateway {

// Generates the same sequence for the same seed on every platform, which std::uniform_real_distribution does
// not guarantee.
class RandomSource {
public:
    explicit RandomSource(std::uint64_t seed) : generator_(seed) {}

    // Returns the next number, uniformly distributed in [0, 1).
    double next() { return toUnitInterval(generator_()); }

private:
    std::mt19937_64 generator_;
};

}  // namespace gateway
