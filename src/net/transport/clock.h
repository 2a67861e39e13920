// The clocks of a gateway process.
#pragma once

#include <chrono>

#include "gateway/types.h"

namespace gateway::net {

// A point in time on this process's monotonic clock, for timeouts and ages.
using SteadyTimePoint = std::chrono::steady_clock::time_point;

// The current time of FleetClock in this process: Unix time, read once at construction and advanced by the
// steady clock. It never jumps, even if the system clock is changed. Window slices on the counter service and
// the start times of endpoints are counted from the epoch of FleetClock.
class Clock {
public:
    TimePoint now() const { return at(std::chrono::steady_clock::now()); }

    // Converts a point in time on the monotonic clock to this clock.
    TimePoint at(SteadyTimePoint time) const {
        return base_ + std::chrono::duration_cast<Duration>(time - start_);
    }

private:
    SteadyTimePoint start_ = std::chrono::steady_clock::now();
    TimePoint base_{
        std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch())};
};

}  // namespace gateway::net
