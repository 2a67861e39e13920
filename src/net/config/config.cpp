#include "net/config/config.h"

#include <charconv>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "settings/settings_json.h"

namespace gateway::net {
namespace {

constexpr int kDefaultSockets = 1024;
constexpr int kMinSockets = 64;
constexpr double kDefaultKeepAliveSeconds = 15;
constexpr int kHexBase = 16;

std::vector<std::string> readNames(const Fields& fields, const char* key) {
    std::vector<std::string> names;
    const Json* list = fields.find(key);
    if (list == nullptr) return names;
    if (!list->is_array()) fields.complain(key, "must be a list");
    for (const Json& name : *list) {
        if (!name.is_string()) fields.complain(key, "must be a list of texts");
        names.push_back(name.get<std::string>());
    }
    return names;
}

std::uint64_t readSeed(const Fields& fields) {
    const std::string& text = fields.text("seed");
    const char* const end = text.data() + text.size();
    std::uint64_t seed = 0;
    const auto parsed = std::from_chars(text.data(), end, seed, kHexBase);
    if (parsed.ec != std::errc() || parsed.ptr != end) fields.complain("seed", "must be up to 16 hex digits");
    return seed;
}

// Replaces `value` with the value of the environment variable, unless the variable is unset or empty.
void overrideByEnvironment(const char* variable, std::string& value) {
    const char* const text = std::getenv(variable);
    if (text != nullptr && *text != '\0') value = text;
}

void readAddresses(const Fields& fields, ConfigLoad load, Config& config) {
    config.name = fields.text("name", "");
    std::string listen = fields.text("listen", "");
    std::string discovery = fields.text("discovery", "");
    overrideByEnvironment("EDGE_NAME", config.name);
    overrideByEnvironment("EDGE_LISTEN", listen);
    if (load == ConfigLoad::initial || discovery.empty()) overrideByEnvironment("EDGE_DISCOVERY", discovery);
    config.listen = parseAddress(listen, "EDGE_LISTEN");
    config.discovery = parseAddress(discovery, "EDGE_DISCOVERY");
    if (fields.has("counter")) config.counter = parseAddress(fields.text("counter"), "config.counter");
}

void readLimits(const Fields& fields, Config& config) {
    if (!fields.has("limits")) return;
    const int sockets = fields.object("limits").integer("sockets", kDefaultSockets);
    if (sockets < kMinSockets) fields.complain("limits.sockets", "must be 64 or more");
    config.sockets = static_cast<std::size_t>(sockets);
}

void readGatewaySettings(const Fields& fields, Config& config) {
    const Fields settings = fields.object("settings");
    config.settings = readSettings(settings);
    if (config.settings.counterEnabled && !config.counter)
        fields.complain("counter", "is missing though the settings use it");
    settings.each("classes", [&](const Fields& item) { config.classNames.push_back(item.text("name")); });
    if (settings.has("contracts"))
        settings.each("contracts",
                      [&](const Fields& item) { config.planNames.push_back(item.text("name")); });
    config.keepAlive = settings.object("allowed").seconds("keepaliveS", kDefaultKeepAliveSeconds);
    config.vocabulary = {readNames(settings, "zones"), readNames(settings, "kinds")};
}

}  // namespace

Config readConfig(const std::string& text, ConfigLoad load) {
    return readInput<ConfigError>([&] {
        const Json document = parseJson(text, "config");
        const Fields fields(document, "config");
        Config config;
        readAddresses(fields, load, config);
        config.seed = readSeed(fields);
        readLimits(fields, config);
        readGatewaySettings(fields, config);
        if (fields.has("known")) config.known = readEndpointList(fields.object("known"), config.vocabulary);
        return config;
    });
}

Config configFromEnvironment(ConfigLoad load) {
    const char* const path = std::getenv("EDGE_CONFIG");
    if (path == nullptr || *path == '\0') throw ConfigError("EDGE_CONFIG", "is not set");
    const std::ifstream file(path);
    if (!file) throw ConfigError("EDGE_CONFIG", std::string("cannot read ") + path);
    std::ostringstream text;
    text << file.rdbuf();
    return readConfig(text.str(), load);
}

}  // namespace gateway::net
