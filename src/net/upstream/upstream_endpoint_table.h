// The endpoints that discovery currently lists.
#pragma once

#include <functional>
#include <memory>
#include <unordered_map>

#include "net/discovery/endpoint_list.h"
#include "net/upstream/upstream_endpoint.h"

namespace gateway::net {

// Applies discovery's endpoint lists. Calls CloseIdleConnections for each endpoint whose idle connections
// must not be used again, because the endpoint is draining, was removed, or is another process than before.
class UpstreamEndpointTable {
public:
    using CloseIdleConnections = std::function<void(const UpstreamEndpoint&)>;

    explicit UpstreamEndpointTable(CloseIdleConnections closeIdleConnections);

    // Applies a snapshot or a delta. Removes the endpoints that a snapshot does not list.
    void update(const EndpointList& list);

    // Returns null if the endpoint is not listed.
    std::shared_ptr<UpstreamEndpoint> find(const EndpointId& id) const;

private:
    void removeUnlisted(const EndpointList& snapshot);
    void updateEndpoint(const ResolvedEndpoint& listed);
    void remove(const EndpointId& id);
    void startDraining(UpstreamEndpoint& endpoint);

    CloseIdleConnections closeIdleConnections_;
    std::unordered_map<EndpointId, std::shared_ptr<UpstreamEndpoint>> endpoints_;
};

}  // namespace gateway::net
