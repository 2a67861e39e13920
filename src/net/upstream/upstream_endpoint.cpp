#include "net/upstream/upstream_endpoint.h"

#include <algorithm>

namespace gateway::net {

bool UpstreamEndpoint::isReplacedBy(const ResolvedEndpoint& listed) const {
    return listed.entry.startedAt != startedAt_ || listed.address != address_;
}

void UpstreamEndpoint::update(const ResolvedEndpoint& listed) {
    if (listed.address.port() != 0) address_ = listed.address;
    startedAt_ = listed.entry.startedAt;
}

void UpstreamEndpoint::startDraining(SteadyTimePoint now) {
    drainingSince_ = std::min(drainingSince_, now);
}

bool UpstreamEndpoint::acceptsAttempts(SteadyTimePoint now, Duration drainGracePeriod) const {
    return !isDraining() || now - drainingSince_ < drainGracePeriod;
}

}  // namespace gateway::net
