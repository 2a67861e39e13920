// The module's time: Unix time, read once at the start and advanced by the steady clock.
#pragma once

#include <chrono>

#include "gateway/types.h"

namespace gateway::net {

// A point in time on this process's monotonic clock, for time limits and ages.
using SteadyTimePoint = std::chrono::steady_clock::time_point;

// Guards against steps of the system's clock in mid-life; the epoch is the one that all gateways share,
// since the names of slices on the counter and the endpoints' starts are counted in it.
class Clock {
public:
    TimePoint now() const { return at(std::chrono::steady_clock::now()); }
    TimePoint at(std::chrono::steady_clock::time_point t) const {
        return base_ + std::chrono::duration_cast<Duration>(t - start_);
    }

private:
    std::chrono::steady_clock::time_point start_ = std::chrono::steady_clock::now();
    TimePoint base_{
        std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch())};
};

}  // namespace gateway::net
