// The random draws of one decision engine.
#pragma once

#include <cstdint>
#include <random>

#include "decision/common/unit_interval.h"

namespace gateway {

// The draws depend on the seed alone, on every platform. std::uniform_real_distribution does not guarantee
// that.
class RandomSource {
public:
    explicit RandomSource(std::uint64_t seed) : generator_(seed) {}

    // The next draw, uniform in [0, 1).
    double next() { return toUnitInterval(generator_()); }

private:
    std::mt19937_64 generator_;
};

}  // namespace gateway
