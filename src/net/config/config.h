// The configuration of a gateway process: EDGE_CONFIG, with EDGE_NAME, EDGE_LISTEN and EDGE_DISCOVERY
// over it.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gateway/settings.h"
#include "net/discovery/endpoint_list.h"

namespace gateway::net {

// How long the process waits for what. The defaults serve; tests use others.
struct Timing {
    // After SIGTERM new connections go on coming for this long at least.
    Duration listenAfterShutdown = std::chrono::milliseconds(500);
    Duration idleGracePeriod = std::chrono::milliseconds(250);  // connections without a request then
    // A new process waits so long for the list that its agent has, which counts as known, before it is ready
    // on the one it was given. Longer would be no use: the agent says nothing while discovery is down.
    Duration initialUpdateWait = std::chrono::milliseconds(500);
    // One that was given an empty list is ready after so long without another: soon what discovery has counts
    // as known, and a process that never is ready is taken for one that failed.
    Duration emptyListWait = std::chrono::seconds(5);
    // A connection to an endpoint carries no next request for so long after a response: a second one that
    // comes some milliseconds late would be taken for that request's. Seen on played days: up to 4 ms.
    Duration reuseDelay = std::chrono::milliseconds(10);
    // A connection whose first request has not begun, or on which one has not come whole, by then is ended.
    Duration maxPartialTime = std::chrono::seconds(2);
};

struct Config {
    using Address = boost::asio::ip::tcp::endpoint;

    std::string name;
    Address listen;
    Address discovery;
    std::optional<Address> counter;
    std::uint64_t seed = 0;      // for random numbers
    std::size_t sockets = 1024;  // descriptors that the process may hold
    Settings settings;
    std::vector<std::string> classNames;  // in the order of Settings::classes
    std::vector<std::string> planNames;   // in the order of Settings::plans
    Duration keepAlive{};                 // after which an endpoint closes an idle connection
    EndpointVocabulary vocabulary;
    EndpointList known;  // the endpoints as this gateway last had them; may be old
    Timing timing;
};

// When the file is read: at the start EDGE_DISCOVERY stands over it; a file that replaced it later is newer
// than the environment, and its own addresses hold.
enum class Reading { atStart, again };

// Throws ConfigError with one line that names what is wrong.
Config readConfig(const std::string& text, Reading reading = Reading::atStart);

// The same from the file that EDGE_CONFIG names.
Config configFromEnvironment(Reading reading = Reading::atStart);

}  // namespace gateway::net
