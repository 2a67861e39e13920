#include "net/upstream/upstream_endpoint_table.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace gateway::net {

UpstreamEndpointTable::UpstreamEndpointTable(CloseIdleConnections closeIdleConnections)
    : closeIdleConnections_(std::move(closeIdleConnections)) {}

void UpstreamEndpointTable::update(const EndpointList& list) {
    if (list.isSnapshot) removeUnlisted(list);
    for (const ResolvedEndpoint& listed : list.endpoints) updateEndpoint(listed);
}

std::shared_ptr<UpstreamEndpoint> UpstreamEndpointTable::find(const EndpointId& id) const {
    const auto found = endpoints_.find(id);
    return found == endpoints_.end() ? nullptr : found->second;
}

void UpstreamEndpointTable::removeUnlisted(const EndpointList& snapshot) {
    std::erase_if(endpoints_, [&](const auto& known) {
        const bool isListed =
            std::any_of(snapshot.endpoints.begin(), snapshot.endpoints.end(),
                        [&](const ResolvedEndpoint& listed) { return listed.entry.id == known.first; });
        if (!isListed) startDraining(*known.second);
        return !isListed;
    });
}

void UpstreamEndpointTable::updateEndpoint(const ResolvedEndpoint& listed) {
    const EndpointEntry& entry = listed.entry;
    if (entry.availability == Availability::removed) {
        if (const auto known = find(entry.id); known && listed.isReplaced) known->markReplaced();
        remove(entry.id);
        return;
    }
    std::shared_ptr<UpstreamEndpoint>& endpoint = endpoints_[entry.id];
    if (endpoint && endpoint->isReplacedBy(listed)) {
        // Attempts that are still connecting must not reach another process.
        endpoint->markReplaced();
        closeIdleConnections_(*endpoint);
        endpoint = nullptr;
    }
    if (!endpoint) endpoint = std::make_shared<UpstreamEndpoint>(entry.id);
    if (entry.availability == Availability::up)
        endpoint->stopDraining();
    else
        startDraining(*endpoint);
    endpoint->update(listed);
}

// The attempts on the endpoint keep its object until they end.
void UpstreamEndpointTable::remove(const EndpointId& id) {
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end()) return;
    startDraining(*found->second);
    endpoints_.erase(found);
}

void UpstreamEndpointTable::startDraining(UpstreamEndpoint& endpoint) {
    endpoint.startDraining(std::chrono::steady_clock::now());
    closeIdleConnections_(endpoint);
}

}  // namespace gateway::net
