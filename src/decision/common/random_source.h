// The random draws of one decision engine.
#pragma once

#include <cstdint>
#include <random>

namespace gateway {

// Draws follow from the seed alone, on every platform: std::uniform_real_distribution would not.
class RandomSource {
public:
    explicit RandomSource(std::uint64_t seed) : generator_(seed) {}

    // The next draw, evenly from 0 up to 1.
    double next() { return static_cast<double>(generator_() >> 11) * 0x1.0p-53; }

private:
    std::mt19937_64 generator_;
};

}  // namespace gateway
