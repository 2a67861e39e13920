// The configuration of a gateway under test, and the endpoint lists that discovery sends it.
#pragma once

#include <sys/resource.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "support/loopback_socket.h"

namespace gateway::net::test {

// ---- Endpoint lists -------------------------------------------------------------------------------------

// One entry of a list, as discovery sends it.
struct ListedEndpoint {
    std::string name;
    std::string address;
    std::string status;     // "in_service", "terminating" or "terminated"
    std::string note = {};  // a field that the gateway does not know
};
using ListedEndpoints = std::vector<ListedEndpoint>;

ListedEndpoint listedEndpoint(const std::string& name, const Server& server,
                              const std::string& status = "in_service");

constexpr int kOneLine = -1;

// A list that is complete, or that has only what changed, as a JSON document.
std::string snapshotDocument(int index, const ListedEndpoints& endpoints, int indentation = kOneLine);
std::string deltaDocument(int index, const ListedEndpoints& endpoints);

// The same as one line of a watch, in a chunk of its own.
std::string snapshotChunk(int index, const ListedEndpoints& endpoints);
std::string deltaChunk(int index, const ListedEndpoints& endpoints);

// ---- Settings -------------------------------------------------------------------------------------------

using Seconds = std::chrono::duration<double>;

// The values of the setting "discovery".
constexpr const char* kPushedDiscovery = "push";
constexpr const char* kPolledDiscovery = "ask";

// The settings of the fleet: three classes ("load" safe, "change" keyed, "spend" unsafe), a plan with a quota
// ("team") and one without ("free").
struct SettingsSpec {
    int gatewayIndex = 0;
    int gatewayCount = 3;
    Seconds latencyObjective{9};  // of each class, as the deadline
    Seconds deadline{9};
    Seconds idempotencyWindow{30};               // of the keyed class
    std::string deduplicationScope = "cell";     // the same: "all", "zone" or "cell"
    double quotaRate = 0.01;                     // of the plan with a quota: cost per second
    double quotaBurst = 40;                      // the same: cost
    std::optional<Seconds> counterTimeout = {};  // nothing: the counter is not called
    bool reconciliationEnabled = false;
    bool cancellationAllowed = true;
    Seconds connectTimeout{5};
    Seconds drainGracePeriod{0.05};
    std::string discovery = kPushedDiscovery;
    std::optional<Seconds> maxPollInterval = {};
};

// Objectives and deadlines of 400 s, so that no wait, all of which are fractions of them, ends by itself.
SettingsSpec withLongDeadlines(SettingsSpec settings = {});
SettingsSpec withCounter(SettingsSpec settings, Seconds timeout);
// `mode`: kPushedDiscovery or kPolledDiscovery; a polled one may go uncalled for `maxPollInterval`.
SettingsSpec withDiscovery(const std::string& mode, Seconds maxPollInterval);
SettingsSpec withoutCancellation(SettingsSpec settings);
// Draining endpoints may be used for 10 min, so that only the endpoint list keeps attempts away from them.
SettingsSpec withLongDrainGracePeriod();

// The JSON document of the key "settings".
std::string settingsDocument(const SettingsSpec& settings = {});

// ---- The process ----------------------------------------------------------------------------------------

// What a test may change of net::Timing, by the same names. Where there is no value the default holds.
struct TimingSpec {
    using Milliseconds = std::chrono::milliseconds;

    // Long enough for a slow machine to see the gateway listen after SIGTERM.
    Milliseconds listenAfterShutdown{3000};
    Milliseconds idleGracePeriod{3000};
    Milliseconds initialUpdateWait{0};
    Milliseconds reuseDelay{0};
    std::optional<Milliseconds> emptyListWait = {};
    std::optional<Milliseconds> requestReadTimeout = {};
};

struct GatewayOptions {
    ListedEndpoints knownEndpoints = {};  // the list that it starts with, of index kKnownIndex
    SettingsSpec settings = {};
    std::string discovery = {};  // address; empty: GatewayProcess::discovery()
    std::string counter = {};    // address; empty: none
    int maxSockets = 256;        // that the configuration allows
    TimingSpec timing = {};
    rlim_t maxDescriptors = 0;  // that the system allows the process; 0: not limited
};

constexpr int kKnownIndex = 41;

// A gateway that knows one endpoint, "w".
GatewayOptions optionsWithEndpoint(const Server& endpoint, const SettingsSpec& settings = {});

// The JSON document that EDGE_CONFIG names.
std::string configDocument(const GatewayOptions& options);

}  // namespace gateway::net::test
