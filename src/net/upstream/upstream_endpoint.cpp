#include "net/upstream/upstream_endpoint.h"

#include <algorithm>

namespace gateway::net {

bool UpstreamEndpoint::isReplacedBy(const ResolvedEndpoint& listed) const {
    const bool hasMoved = address_.port() != 0 && listed.address.port() != 0 && listed.address != address_;
    return listed.entry.startedAt > startedAt_ || hasMoved;
}

void UpstreamEndpoint::update(const ResolvedEndpoint& listed) {
    if (listed.address.port() != 0) address_ = listed.address;
    startedAt_ = listed.entry.startedAt;
}

void UpstreamEndpoint::startDraining(SteadyTimePoint now) {
    drainingSince_ = std::min(drainingSince_, now);
}

bool UpstreamEndpoint::acceptsAttempts(SteadyTimePoint now, Duration drainGracePeriod) const {
    if (isReplaced_) return false;
    return !isDraining() || now - drainingSince_ < drainGracePeriod;
}

}  // namespace gateway::net
