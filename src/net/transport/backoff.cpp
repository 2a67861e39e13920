#include "net/transport/backoff.h"

#include <algorithm>

namespace gateway::net {

Backoff::Backoff(Duration initialBound, Duration maxBound, std::uint64_t seed)
    : initialBound_(initialBound), maxBound_(maxBound), random_(seed) {}

Duration Backoff::next() {
    bound_ = std::clamp(bound_ * 2, initialBound_, maxBound_);
    return drawUpTo(bound_);
}

Duration Backoff::drawUpTo(Duration bound) {
    if (bound <= Duration::zero()) return Duration::zero();
    std::uniform_int_distribution<Duration::rep> microseconds(1, bound.count());
    return Duration(microseconds(random_));
}

void Backoff::reset() {
    bound_ = Duration::zero();
}

}  // namespace gateway::net
