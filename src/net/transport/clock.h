// The clocks of a gateway process.
#pragma once

#include <chrono>

#include "gateway/types.h"

namespace gateway::net {

// A point in time on this process's monotonic clock, for time limits and ages.
using SteadyTimePoint = std::chrono::steady_clock::time_point;

// The fleet's clock: Unix time, read once at construction and advanced by the steady clock. It never steps,
// even if the system's clock is set. Its epoch is shared by all gateways, since window slices on the counter
// and start times of endpoints are counted from it.
class Clock {
public:
    TimePoint now() const { return at(std::chrono::steady_clock::now()); }

    // Converts a time of this process's monotonic clock.
    TimePoint at(SteadyTimePoint time) const {
        return base_ + std::chrono::duration_cast<Duration>(time - start_);
    }

private:
    SteadyTimePoint start_ = std::chrono::steady_clock::now();
    TimePoint base_{
        std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch())};
};

}  // namespace gateway::net
