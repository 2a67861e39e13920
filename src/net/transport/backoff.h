// Exponential backoff with full jitter.
#pragma once

#include <algorithm>
#include <cstdint>
#include <random>

#include "net/transport/clock.h"

namespace gateway::net {

// Many gateways lose the same peer at the same moment: without jitter they would all be back together, and
// without growth a peer that works its queue off too late would never be let off.
class Backoff {
public:
    Backoff(Duration first, Duration most, std::uint64_t seed) : first_(first), most_(most), random_(seed) {}

    // Waits are drawn evenly up to a bound that doubles from `first` to `most`.
    Duration next() {
        bound_ = std::clamp(bound_ * 2, first_, most_);
        return within(bound_);
    }
    // A draw that is no step of the growth.
    Duration within(Duration bound) {
        if (bound <= Duration::zero()) return Duration::zero();
        return Duration(std::uniform_int_distribution<Duration::rep>(1, bound.count())(random_));
    }
    void reset() { bound_ = Duration::zero(); }

private:
    Duration first_, most_, bound_{};
    std::mt19937_64 random_;
};

}  // namespace gateway::net
