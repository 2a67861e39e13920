#include "support/gateway_options.h"

#include <utility>

#include "support/http_messages.h"

namespace gateway::net::test {
namespace {

Json endpointList(int index, bool isSnapshot, const EndpointEntries& endpoints) {
    return {{"index", index}, {"snapshot", isSnapshot}, {"endpoints", Json(endpoints)}};
}

}  // namespace

Json listedEndpoint(const std::string& name, const Server& server, const std::string& status) {
    return {{"name", name}, {"address", server.address()},
            {"zone", "a"},  {"type", "m"},
            {"group", 0},   {"status", status},
            {"weight", 1},  {"since_ms", 0}};
}

std::string snapshotDocument(int index, const EndpointEntries& endpoints) {
    return endpointList(index, true, endpoints).dump();
}

std::string deltaDocument(int index, const EndpointEntries& endpoints) {
    return endpointList(index, false, endpoints).dump();
}

std::string snapshotChunk(int index, const EndpointEntries& endpoints) {
    return chunk(snapshotDocument(index, endpoints) + "\n");
}

std::string deltaChunk(int index, const EndpointEntries& endpoints) {
    return chunk(deltaDocument(index, endpoints) + "\n");
}

Json defaultSettings() {
    return Json::parse(R"({
      "allowed": {"cancel": true, "dialTimeoutS": 5, "keepaliveS": 60, "maxAttempts": 4,
                  "maxRetryAfterS": 0.5,
                  "probes": true, "retryAfter": true},
      "balancers": 3, "me": 0, "locality": 0, "discovery": "push",
      "classes": [{"aimS": 9, "deadlineS": 9, "effect": "safe", "name": "load"},
                  {"aimS": 9, "deadlineS": 9, "effect": "keyed", "group": "cell", "windowS": 30,
                   "name": "change"},
                  {"aimS": 9, "deadlineS": 9, "effect": "unsafe", "name": "spend"}],
      "contracts": [{"name": "team", "perSecond": 0.01, "depth": 40}, {"name": "free"}],
      "domain": {"mayCount": false, "maxUnits": 4},
      "report": {"how": "inline", "fields": ["rif"]},
      "rules": {"answerSlackS": 0.016, "coldFrom": 0.25, "drainGraceS": 0.05, "fallMultiple": 2,
                "tipAfterS": 2, "warmWithinS": 17},
      "weights": "off", "zones": ["a", "b"], "kinds": ["m"]})");
}

Json withLongDeadlines(Json settings) {
    for (Json& requestClass : settings["classes"]) {
        requestClass["aimS"] = 400;
        requestClass["deadlineS"] = 400;
    }
    return settings;
}

Json withCounter(Json settings, double timeoutSeconds) {
    settings["domain"] = {{"mayCount", true}, {"counterTimeoutS", timeoutSeconds}, {"maxUnits", 4}};
    return settings;
}

Json withDiscovery(Json settings, const std::string& mode, int maxPollIntervalSeconds) {
    settings["discovery"] = mode;
    settings["rules"]["mustAskInS"] = maxPollIntervalSeconds;
    return settings;
}

Json withoutCancellation(Json settings) {
    settings["allowed"]["cancel"] = false;
    return settings;
}

Json withLongDrainGracePeriod(Json settings) {
    settings["rules"]["drainGraceS"] = 600;
    return settings;
}

Timing testTiming() {
    Timing timing;
    timing.listenAfterShutdown = std::chrono::seconds(3);
    timing.idleGracePeriod = std::chrono::seconds(3);
    timing.initialUpdateWait = Duration::zero();
    timing.reuseDelay = Duration::zero();
    return timing;
}

GatewayOptions optionsWithEndpoint(const Server& endpoint, Json settings) {
    GatewayOptions options;
    options.knownEndpoints = {listedEndpoint("w", endpoint)};
    options.settings = std::move(settings);
    return options;
}

Json configDocument(const GatewayOptions& options) {
    Json config{{"name", "n0"},
                {"listen", "127.0.0.1:0"},
                {"discovery", options.discovery},
                {"seed", "8c1f30d27a5be964"},
                {"limits", {{"sockets", options.maxSockets}}},
                {"settings", options.settings},
                {"known", endpointList(kKnownIndex, true, options.knownEndpoints)}};
    if (!options.counter.empty()) config["counter"] = options.counter;
    return config;
}

}  // namespace gateway::net::test
