#include "support/gateway_options.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "support/http_messages.h"

namespace gateway::net::test {
namespace {

using Json = nlohmann::json;

Json toJson(const ListedEndpoint& endpoint) {
    Json entry{{"name", endpoint.name},
               {"address", endpoint.address},
               {"zone", "a"},
               {"type", "m"},
               {"group", 0},
               {"status", endpoint.status},
               {"weight", 1},
               {"since_ms", endpoint.startedAtMs}};
    if (!endpoint.note.empty()) entry["note"] = endpoint.note;
    return entry;
}

Json endpointList(int index, bool isSnapshot, const ListedEndpoints& endpoints) {
    Json entries = Json::array();
    for (const ListedEndpoint& endpoint : endpoints) entries.push_back(toJson(endpoint));
    return {{"index", index}, {"snapshot", isSnapshot}, {"endpoints", std::move(entries)}};
}

Json requestClass(const SettingsSpec& settings, const std::string& name, const std::string& idempotency) {
    return {{"name", name},
            {"effect", idempotency},
            {"aimS", settings.latencyObjective.count()},
            {"deadlineS", settings.deadline.count()}};
}

Json requestClasses(const SettingsSpec& settings) {
    Json keyed = requestClass(settings, "change", "keyed");
    keyed["group"] = settings.deduplicationScope;
    keyed["windowS"] = settings.idempotencyWindow.count();
    return Json::array(
        {requestClass(settings, "load", "safe"), keyed, requestClass(settings, "spend", "unsafe")});
}

Json counterSettings(const SettingsSpec& settings) {
    Json domain{{"mayCount", settings.counterTimeout.has_value()}, {"maxUnits", 4}};
    if (settings.counterTimeout) domain["counterTimeoutS"] = settings.counterTimeout->count();
    if (settings.reconciliationEnabled) domain["postPaid"] = true;
    return domain;
}

Json rules(const SettingsSpec& settings) {
    Json rules{
        {"answerSlackS", 0.016}, {"coldFrom", 0.25}, {"drainGraceS", settings.drainGracePeriod.count()},
        {"fallMultiple", 2},     {"tipAfterS", 2},   {"warmWithinS", 17}};
    if (settings.maxPollInterval) rules["mustAskInS"] = settings.maxPollInterval->count();
    return rules;
}

Json toJson(const SettingsSpec& settings) {
    const Json quotaPlan{{"name", "team"}, {"perSecond", settings.quotaRate}, {"depth", settings.quotaBurst}};
    const Json unlimitedPlan{{"name", "free"}};
    return {{"me", settings.gatewayIndex},
            {"balancers", settings.gatewayCount},
            {"locality", 0},
            {"zones", Json::array({"a", "b"})},
            {"kinds", Json::array({"m"})},
            {"discovery", settings.discovery},
            {"classes", requestClasses(settings)},
            {"contracts", Json::array({quotaPlan, unlimitedPlan})},
            {"allowed",
             {{"cancel", settings.cancellationAllowed},
              {"dialTimeoutS", settings.connectTimeout.count()},
              {"keepaliveS", 60},
              {"maxAttempts", 4},
              {"maxRetryAfterS", 0.5},
              {"probes", true},
              {"retryAfter", true}}},
            {"domain", counterSettings(settings)},
            {"report", {{"how", "inline"}, {"fields", Json::array({"rif"})}}},
            {"rules", rules(settings)},
            {"weights", "off"}};
}

}  // namespace

// ---- Endpoint lists -------------------------------------------------------------------------------------

ListedEndpoint listedEndpoint(const std::string& name, const Server& server, const std::string& status) {
    return {name, server.address(), status};
}

std::string snapshotDocument(int index, const ListedEndpoints& endpoints, int indentation) {
    return endpointList(index, true, endpoints).dump(indentation);
}

std::string deltaDocument(int index, const ListedEndpoints& endpoints) {
    return endpointList(index, false, endpoints).dump();
}

std::string snapshotChunk(int index, const ListedEndpoints& endpoints) {
    return chunk(snapshotDocument(index, endpoints) + "\n");
}

std::string deltaChunk(int index, const ListedEndpoints& endpoints) {
    return chunk(deltaDocument(index, endpoints) + "\n");
}

// ---- Settings -------------------------------------------------------------------------------------------

SettingsSpec withLongDeadlines(SettingsSpec settings) {
    settings.latencyObjective = Seconds(400);
    settings.deadline = Seconds(400);
    return settings;
}

SettingsSpec withCounter(SettingsSpec settings, Seconds timeout) {
    settings.counterTimeout = timeout;
    return settings;
}

SettingsSpec withDiscovery(const std::string& mode, Seconds maxPollInterval) {
    SettingsSpec settings;
    settings.discovery = mode;
    settings.maxPollInterval = maxPollInterval;
    return settings;
}

SettingsSpec withoutCancellation(SettingsSpec settings) {
    settings.cancellationAllowed = false;
    return settings;
}

SettingsSpec withLongDrainGracePeriod() {
    SettingsSpec settings;
    settings.drainGracePeriod = std::chrono::minutes(10);
    return settings;
}

std::string settingsDocument(const SettingsSpec& settings) {
    return toJson(settings).dump();
}

// ---- The process ----------------------------------------------------------------------------------------

GatewayOptions optionsWithEndpoint(const Server& endpoint, const SettingsSpec& settings) {
    GatewayOptions options;
    options.knownEndpoints = {listedEndpoint("w", endpoint)};
    options.settings = settings;
    return options;
}

std::string configDocument(const GatewayOptions& options) {
    Json config{{"name", "n0"},
                {"listen", "127.0.0.1:0"},
                {"discovery", options.discovery},
                {"seed", "8c1f30d27a5be964"},
                {"limits", {{"memory_mb", options.memoryMegabytes}, {"sockets", options.maxSockets}}},
                {"settings", toJson(options.settings)},
                {"known", endpointList(kKnownIndex, true, options.knownEndpoints)}};
    if (!options.counter.empty()) config["counter"] = options.counter;
    return config.dump();
}

}  // namespace gateway::net::test
