#include "decision/common/arithmetic.h"

#include <cstdint>

#include "decision/common/unit_interval.h"

namespace gateway {
namespace {

constexpr std::uint64_t kFnvOffset = 0xcbf29ce484222325;
constexpr std::uint64_t kFnvPrime = 0x100000001b3;
constexpr std::uint64_t kGoldenRatio = 0x9e3779b97f4a7c15;  // its fractional part, times 2^64
constexpr int kHalfWidthBits = 32;

// FNV-1a of the name, seeded with the start time.
std::uint64_t hashOf(std::string_view name, TimePoint start) {
    std::uint64_t hash = kFnvOffset ^ static_cast<std::uint64_t>(start.time_since_epoch().count());
    for (const char letter : name) hash = (hash ^ static_cast<unsigned char>(letter)) * kFnvPrime;
    return hash;
}

}  // namespace

double evenlySpreadFraction(std::string_view name, TimePoint start, int gatewayIndex) {
    const std::uint64_t hash = hashOf(name, start);
    const std::uint64_t shift = (hash ^ hash >> kHalfWidthBits) * kGoldenRatio;
    return toUnitInterval(shift + static_cast<std::uint64_t>(gatewayIndex) * kGoldenRatio);
}

}  // namespace gateway
