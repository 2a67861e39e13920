// Maps 64 random or hashed bits to a fraction in [0, 1).
#pragma once

#include <cstdint>
#include <limits>

namespace gateway {

// Uses the upper bits, as many as a double represents exactly.
inline double toUnitInterval(std::uint64_t bits) {
    constexpr int kMantissaBits = std::numeric_limits<double>::digits;
    constexpr int kUnusedBits = std::numeric_limits<std::uint64_t>::digits - kMantissaBits;
    constexpr double kScale = 1.0 / static_cast<double>(std::uint64_t{1} << kMantissaBits);
    return static_cast<double>(bits >> kUnusedBits) * kScale;
}

}  // namespace gateway
