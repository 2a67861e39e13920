// The configuration of a gateway process: the file that EDGE_CONFIG names, and the environment variables
// EDGE_NAME, EDGE_LISTEN and EDGE_DISCOVERY, which override it.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gateway/settings.h"
#include "net/discovery/endpoint_list.h"

namespace gateway::net {

// Time limits of the process. They can't be set in the configuration file; tests replace the defaults.
struct Timing {
    static constexpr Duration kListenGracePeriod = std::chrono::milliseconds(500);
    static constexpr Duration kIdleGracePeriod = std::chrono::milliseconds(250);
    static constexpr Duration kInitialUpdateWait = std::chrono::milliseconds(500);
    static constexpr Duration kEmptyListWait = std::chrono::seconds(5);
    static constexpr Duration kReuseDelay = std::chrono::milliseconds(10);
    static constexpr Duration kRequestReadTimeout = std::chrono::seconds(2);

    // Time from SIGTERM until the listener closes. New clients connect until they notice the shutdown.
    Duration listenGracePeriod = kListenGracePeriod;
    // Time from SIGTERM until client connections without a request are closed.
    Duration idleGracePeriod = kIdleGracePeriod;
    // With DiscoveryMode::push: how long a new process waits for the discovery agent's first list before it
    // reports that it is ready with the cached endpoint list. The agent sends nothing while discovery is
    // down.
    Duration initialUpdateWait = kInitialUpdateWait;
    // How long a new process with an empty endpoint list waits for another list before it reports that it is
    // ready. The wait is limited because a process that never becomes ready counts as failed.
    Duration emptyListWait = kEmptyListWait;
    // How long a connection to an endpoint stays unused after a response. A surplus response that arrives in
    // this time is detected instead of being taken for the response to the next request.
    Duration reuseDelay = kReuseDelay;
    // Time from accepting a connection until its first request is complete; for a later request, from the
    // start of reading it until it is complete.
    Duration requestReadTimeout = kRequestReadTimeout;
};

struct Config {
    using Address = boost::asio::ip::tcp::endpoint;

    std::string name;
    Address listen;
    Address discovery;
    std::optional<Address> counter;     // always set if Settings::counterEnabled
    std::uint64_t seed = 0;             // of the random number generators
    std::size_t maxDescriptors = 1024;  // file descriptors that the process may hold
    std::size_t maxMemoryBytes = 0;     // memory that the process may use
    Settings settings;
    std::vector<std::string> classNames;  // in the order of Settings::classes
    std::vector<std::string> planNames;   // in the order of Settings::plans
    Duration upstreamKeepAlive{};         // an endpoint closes a connection that is idle for this long
    ZoneAndKindNames zoneAndKindNames;
    EndpointList cachedEndpoints;  // the endpoint list to start with; may be outdated
    Timing timing;
};

// Why the configuration is read. In the initial load, EDGE_DISCOVERY overrides the key "discovery" of the
// file. On a reload, the file is newer than the environment, so EDGE_DISCOVERY is used only if the file has
// no address of discovery.
enum class ConfigLoad { initial, reload };

// Reads a configuration from the text of the file and from the environment variables that override it. Throws
// ConfigError.
Config readConfig(const std::string& text, ConfigLoad load = ConfigLoad::initial);

// Reads the configuration from the file that EDGE_CONFIG names and from the environment variables that
// override it. Throws ConfigError.
Config loadConfig(ConfigLoad load = ConfigLoad::initial);

}  // namespace gateway::net
