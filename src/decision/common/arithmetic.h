// Arithmetic that the decision module shares. Nothing is decided here.
#pragma once

#include <cmath>
#include <cstdint>
#include <string_view>

#include "gateway/types.h"

namespace gateway {

inline double toSeconds(Duration duration) {
    return static_cast<double>(duration.count()) / 1e6;
}

inline double secondsSinceEpoch(TimePoint time) {
    return toSeconds(time.time_since_epoch());
}

inline Duration fromSeconds(double seconds) {
    return Duration(std::llround(seconds * 1e6));
}

// An exponential moving average after one more sample of weight `weight`, from 0 to 1.
inline double movingAverage(double mean, double sample, double weight) {
    return mean + (sample - mean) * weight;
}

// A number from 0 up to 1 for gateway `gatewayIndex`, such that those of any gateways in a row are spread
// evenly over that range, as multiples of the golden ratio are. Another name or start shifts all of them.
inline double evenlySpreadFraction(std::string_view name, TimePoint start, int gatewayIndex) {
    constexpr std::uint64_t kFnvOffset = 0xcbf29ce484222325;
    constexpr std::uint64_t kFnvPrime = 0x100000001b3;
    constexpr std::uint64_t kGoldenRatio = 0x9e3779b97f4a7c15;
    std::uint64_t hash = kFnvOffset ^ static_cast<std::uint64_t>(start.time_since_epoch().count());
    for (const char letter : name) hash = (hash ^ static_cast<unsigned char>(letter)) * kFnvPrime;
    hash = (hash ^ hash >> 32) * kGoldenRatio + static_cast<std::uint64_t>(gatewayIndex) * kGoldenRatio;
    return static_cast<double>(hash >> 11) * 0x1.0p-53;
}

}  // namespace gateway
