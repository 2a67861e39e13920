// Derives the options of each network component from the process's configuration.
#pragma once

#include "net/client/client_server.h"
#include "net/config/config.h"
#include "net/counter/counter_client.h"
#include "net/discovery/discovery_client.h"
#include "net/server/readiness.h"
#include "net/upstream/upstream_client.h"

namespace gateway::net {

// Of the file descriptors that the configuration allows, 50% are for connections of clients and 40% for
// connections to endpoints. The rest is for the counter service, discovery, the listener and the event loop.
// The memory limit reduces these numbers where each connection could not have its share of the memory. The
// shares of the memory are listed in docs/operations.md.
ClientServer::Limits clientServerLimits(const Config& config);
UpstreamClient::Limits upstreamClientLimits(const Config& config, ReclaimDescriptor reclaimDescriptor);

CounterClient::Limits counterClientLimits(const Config& config, ReclaimDescriptor reclaimDescriptor);
DiscoveryClient::Options discoveryClientOptions(const Config& config, ReclaimDescriptor reclaimDescriptor);
RequestRules requestRules(const Config& config);
Readiness::Limits readinessLimits(const Config& config);

}  // namespace gateway::net
