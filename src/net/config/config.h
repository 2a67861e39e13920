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

// Time limits of the process. The file does not set them; tests use other values than the defaults.
struct Timing {
    static constexpr Duration kListenAfterShutdown = std::chrono::milliseconds(500);
    static constexpr Duration kIdleGracePeriod = std::chrono::milliseconds(250);
    static constexpr Duration kInitialUpdateWait = std::chrono::milliseconds(500);
    static constexpr Duration kEmptyListWait = std::chrono::seconds(5);
    static constexpr Duration kReuseDelay = std::chrono::milliseconds(10);
    static constexpr Duration kMaxPartialTime = std::chrono::seconds(2);

    // From SIGTERM until the listener closes. Clients keep connecting until they notice the shutdown.
    Duration listenAfterShutdown = kListenAfterShutdown;
    // From SIGTERM until connections without a request are closed.
    Duration idleGracePeriod = kIdleGracePeriod;
    // With DiscoveryMode::push: how long a new process waits for the list of its agent, which counts as
    // known, before it is ready with the list of its configuration. The agent sends nothing while discovery
    // is down.
    Duration initialUpdateWait = kInitialUpdateWait;
    // How long a process with an empty list waits for another before it is ready: a process that is never
    // ready counts as failed.
    Duration emptyListWait = kEmptyListWait;
    // Cool-down of a connection to an endpoint between a response and the next request: a second response
    // that comes late would be taken for that request's.
    Duration reuseDelay = kReuseDelay;
    // For a client to start the first request on a connection, and to send a request completely.
    Duration maxPartialTime = kMaxPartialTime;
};

struct Config {
    using Address = boost::asio::ip::tcp::endpoint;

    std::string name;
    Address listen;
    Address discovery;
    std::optional<Address> counter;  // set if Settings::counterEnabled
    std::uint64_t seed = 0;          // of random numbers
    std::size_t sockets = 1024;      // descriptors that the process may hold
    Settings settings;
    std::vector<std::string> classNames;  // in the order of Settings::classes
    std::vector<std::string> planNames;   // in the order of Settings::plans
    Duration keepAlive{};                 // after which an endpoint closes an idle connection
    EndpointVocabulary vocabulary;
    EndpointList known;  // the endpoints as this gateway last knew them; may be outdated
    Timing timing;
};

// Why the configuration is read. EDGE_DISCOVERY overrides the file at the start only: a file that has
// replaced the first one is newer than the environment.
enum class ConfigLoad { initial, reload };

// Reads a configuration from the text of the file and the environment. Throws ConfigError, one line that
// names what is wrong.
Config readConfig(const std::string& text, ConfigLoad load = ConfigLoad::initial);

// Reads the file that EDGE_CONFIG names, and the environment. Throws ConfigError.
Config configFromEnvironment(ConfigLoad load = ConfigLoad::initial);

}  // namespace gateway::net
