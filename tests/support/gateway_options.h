// The configuration of a gateway under test, and the endpoint lists that discovery sends to it.
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
    long startedAtMs = 0;   // "since_ms"
};
using ListedEndpoints = std::vector<ListedEndpoint>;

ListedEndpoint listedEndpoint(const std::string& name, const Server& server,
                              const std::string& status = "in_service");

constexpr int kOneLine = -1;

// A JSON document with all endpoints (a snapshot), or with those that changed (a delta).
std::string snapshotDocument(int index, const ListedEndpoints& endpoints, int indentation = kOneLine);
std::string deltaDocument(int index, const ListedEndpoints& endpoints);

// The same document as one line of a watch stream, in an HTTP chunk of its own.
std::string snapshotChunk(int index, const ListedEndpoints& endpoints);
std::string deltaChunk(int index, const ListedEndpoints& endpoints);

// ---- Settings -------------------------------------------------------------------------------------------

using Seconds = std::chrono::duration<double>;

// The values of the key "discovery" in the settings.
constexpr const char* kPushedDiscovery = "push";
constexpr const char* kPolledDiscovery = "ask";

// The settings of a gateway: three request classes ("load" is safe, "change" keyed, "spend" unsafe), a plan
// with a quota ("team") and a plan without one ("free").
struct SettingsSpec {
    int gatewayIndex = 0;
    int gatewayCount = 3;
    Seconds latencyObjective{9};                 // of every class
    Seconds deadline{9};                         // of every class
    Seconds idempotencyWindow{30};               // of the keyed class
    std::string deduplicationScope = "cell";     // of the keyed class: "all", "zone" or "cell"
    double quotaRate = 0.01;                     // of the plan with a quota: cost per second
    double quotaBurst = 40;                      // of the plan with a quota: cost
    std::optional<Seconds> counterTimeout = {};  // without a value the counter is not called
    bool reconciliationEnabled = false;
    bool cancellationAllowed = true;
    Seconds connectTimeout{5};
    Seconds drainGracePeriod{0.05};
    std::string discovery = kPushedDiscovery;
    std::optional<Seconds> maxPollInterval = {};
};

// Objectives and deadlines of 400 s. All waits are fractions of these, so none expires during a test.
SettingsSpec withLongDeadlines(SettingsSpec settings = {});
SettingsSpec withCounter(SettingsSpec settings, Seconds timeout);
// `mode` is kPushedDiscovery or kPolledDiscovery. `maxPollInterval` is the longest time between two polls.
SettingsSpec withDiscovery(const std::string& mode, Seconds maxPollInterval);
SettingsSpec withoutCancellation(SettingsSpec settings);
// A drain grace period of 10 min: no endpoint stops receiving attempts because this period ends.
SettingsSpec withLongDrainGracePeriod();

// The JSON document of the key "settings".
std::string settingsDocument(const SettingsSpec& settings = {});

// ---- The process ----------------------------------------------------------------------------------------

// The members of net::Timing that tests set, under the same names. A member without a value keeps the default
// of net::Timing.
struct TimingSpec {
    using Milliseconds = std::chrono::milliseconds;

    // Long enough for a test on a slow machine to connect after SIGTERM.
    Milliseconds listenGracePeriod{3000};
    Milliseconds idleGracePeriod{3000};
    Milliseconds initialUpdateWait{0};
    Milliseconds reuseDelay{0};
    std::optional<Milliseconds> emptyListWait = {};
    std::optional<Milliseconds> requestReadTimeout = {};
};

struct GatewayOptions {
    ListedEndpoints knownEndpoints = {};  // of the configured list, whose index is kKnownIndex
    SettingsSpec settings = {};
    std::string discovery = {};  // address; empty: that of GatewayProcess::discovery()
    std::string counter = {};    // address; empty: no counter
    int maxSockets = 256;        // "limits.sockets" of the configuration
    int memoryMegabytes = 192;   // "limits.memory_mb" of the configuration
    TimingSpec timing = {};
    rlim_t maxDescriptors = 0;  // RLIMIT_NOFILE of the process; 0: not changed
};

constexpr int kKnownIndex = 41;

// The options of a gateway whose configured list has one endpoint, "w".
GatewayOptions optionsWithEndpoint(const Server& endpoint, const SettingsSpec& settings = {});

// The JSON document that EDGE_CONFIG names.
std::string configDocument(const GatewayOptions& options);

}  // namespace gateway::net::test
