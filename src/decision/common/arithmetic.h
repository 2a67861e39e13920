// Conversions and averages that the decision module shares.
#pragma once

#include <cmath>
#include <string_view>

#include "gateway/types.h"

namespace gateway {

inline double toSeconds(Duration duration) {
    return static_cast<double>(duration.count()) / 1e6;
}

inline double secondsSinceEpoch(TimePoint time) {
    return toSeconds(time.time_since_epoch());
}

// Rounds to the nearest microsecond.
inline Duration fromSeconds(double seconds) {
    return Duration(std::llround(seconds * 1e6));
}

// Updates an exponential moving average with one sample. `weight`: of the sample, from 0 to 1.
inline double movingAverage(double mean, double sample, double weight) {
    return mean + (sample - mean) * weight;
}

// Returns a fraction in [0, 1) for each gateway of a fleet. The fractions of consecutive gateway indices are
// spread evenly over the interval, like the fractional parts of the multiples of the golden ratio. `name` and
// `start` shift all of them by the same amount, modulo 1.
double evenlySpreadFraction(std::string_view name, TimePoint start, int gatewayIndex);

}  // namespace gateway
