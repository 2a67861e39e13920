// The endpoints that discovery lists now.
#pragma once

#include <functional>
#include <memory>
#include <unordered_map>

#include "net/discovery/endpoint_list.h"
#include "net/upstream/upstream_endpoint.h"

namespace gateway::net {

// Applies discovery's lists. Reports each endpoint whose idle connections must not be used again: one that is
// draining, was removed, or is another process than before.
class UpstreamEndpointTable {
public:
    using CloseIdleConnections = std::function<void(const UpstreamEndpoint&)>;

    explicit UpstreamEndpointTable(CloseIdleConnections closeIdleConnections);

    // Applies a snapshot or the changes since the list before. An endpoint that a snapshot lacks was removed.
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
