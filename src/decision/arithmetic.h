// Arithmetic that the decision module uses. Nothing is decided here.
#pragma once

#include <cmath>
#include <cstdint>
#include <string_view>

#include "gateway/events.h"

namespace gateway {

inline double seconds(Duration d) {
    return static_cast<double>(d.count()) / 1e6;
}
inline Duration fromSeconds(double s) {
    return Duration(std::llround(s * 1e6));
}

// A running mean after one more sample of weight `weight`.
inline double blend(double mean, double sample, double weight) {
    return mean + (sample - mean) * weight;
}

// A number from 0 up to 1 for gateway `self`, so that those of any gateways in a row are spread evenly
// over that range: multiples of the golden ratio are. Another name or start shifts all of them.
inline double dealtPart(std::string_view name, Time start, int self) {
    constexpr std::uint64_t kGolden = 0x9e3779b97f4a7c15;
    std::uint64_t hash = 0xcbf29ce484222325 ^ static_cast<std::uint64_t>(start.count());
    for (const char letter : name) hash = (hash ^ static_cast<unsigned char>(letter)) * 0x100000001b3;
    hash = (hash ^ hash >> 32) * kGolden + static_cast<std::uint64_t>(self) * kGolden;
    return static_cast<double>(hash >> 11) * 0x1.0p-53;
}

}  // namespace gateway
