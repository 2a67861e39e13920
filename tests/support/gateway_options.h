// The configuration of a gateway under test, and the endpoint lists that discovery sends it.
#pragma once

#include <sys/resource.h>

#include <string>
#include <vector>

#include "net/config/config.h"
#include "settings/json_fields.h"
#include "support/loopback_socket.h"

namespace gateway::net::test {

using gateway::Json;

// ---- Endpoint lists -------------------------------------------------------------------------------------

using EndpointEntries = std::vector<Json>;

// The entry of an endpoint at `server`. `status` is "in_service", "terminating" or "terminated".
Json listedEndpoint(const std::string& name, const Server& server, const std::string& status = "in_service");

// A list that is complete, or that has only what changed, as a JSON document.
std::string snapshotDocument(int index, const EndpointEntries& endpoints);
std::string deltaDocument(int index, const EndpointEntries& endpoints);

// The same as one line of a watch, in a chunk of its own.
std::string snapshotChunk(int index, const EndpointEntries& endpoints);
std::string deltaChunk(int index, const EndpointEntries& endpoints);

// ---- Settings -------------------------------------------------------------------------------------------

// The values of the setting "discovery".
constexpr const char* kPushedDiscovery = "push";
constexpr const char* kPolledDiscovery = "ask";

// Three classes ("load" safe, "change" keyed, "spend" unsafe), a plan with a quota ("team") and one without
// ("free"), an agent that pushes endpoint lists, and no counter.
Json defaultSettings();

// Objectives and deadlines of 400 s, so that no wait, all of which are fractions of them, ends by itself.
Json withLongDeadlines(Json settings);
Json withCounter(Json settings, double timeoutSeconds);
// `mode`: kPushedDiscovery or kPolledDiscovery; a polled one may go uncalled for `maxPollIntervalSeconds`.
Json withDiscovery(Json settings, const std::string& mode, int maxPollIntervalSeconds);
Json withoutCancellation(Json settings);
// Draining endpoints may be used for 10 min, so that only the endpoint list keeps attempts away from them.
Json withLongDrainGracePeriod(Json settings);

// ---- The process ----------------------------------------------------------------------------------------

// No waits at the start or before a connection is reused; after SIGTERM it keeps listening, and idle
// connections open, for 3 s, so that a slow machine sees it.
Timing testTiming();

struct GatewayOptions {
    EndpointEntries knownEndpoints = {};  // the list that it starts with, of index 41
    Json settings = defaultSettings();
    std::string discovery = {};  // address; empty: GatewayProcess::discovery()
    std::string counter = {};    // address; empty: none
    int maxSockets = 256;        // that the configuration allows
    Timing timing = testTiming();
    rlim_t maxDescriptors = 0;  // that the system allows the process; 0: not limited
};

// The index of GatewayOptions::knownEndpoints.
constexpr int kKnownIndex = 41;

// A gateway that knows one endpoint, "w".
GatewayOptions optionsWithEndpoint(const Server& endpoint, Json settings = defaultSettings());

// The document that EDGE_CONFIG names.
Json configDocument(const GatewayOptions& options);

}  // namespace gateway::net::test
