#include "net/config/config.h"

#include <charconv>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "settings/settings_json.h"

namespace gateway::net {
namespace {

constexpr int kDefaultDescriptorLimit = 1024;
constexpr int kMinDescriptorLimit = 64;
constexpr double kDefaultMemoryMegabytes = 1024;
constexpr double kMinMemoryMegabytes = 16;
constexpr double kBytesPerMegabyte = 1024.0 * 1024.0;

// Shares of the memory limit for tables, and the approximate size of their entries.
constexpr std::size_t kTenantsMemoryPercent = 10;
constexpr std::size_t kExecutedRequestsMemoryPercent = 4;
constexpr std::size_t kBytesPerTenant = 1024;
constexpr std::size_t kBytesPerExecutedRequest = 64;
constexpr double kDefaultKeepAliveSeconds = 15;
constexpr int kHexBase = 16;

std::vector<std::string> readNames(const Fields& fields, const char* key) {
    std::vector<std::string> names;
    const Json* list = fields.find(key);
    if (list == nullptr) return names;
    if (!list->is_array()) fields.throwError(key, "must be an array of strings");
    for (const Json& name : *list) {
        if (!name.is_string()) fields.throwError(key, "must be an array of strings");
        names.push_back(name.get<std::string>());
    }
    return names;
}

std::uint64_t readSeed(const Fields& fields) {
    const std::string& text = fields.text("seed");
    const char* const end = text.data() + text.size();
    std::uint64_t seed = 0;
    const auto parsed = std::from_chars(text.data(), end, seed, kHexBase);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        fields.throwError("seed", "must be 1 to 16 hexadecimal digits, found '" + text + "'");
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

void readMemoryLimit(const Fields& fields, Config& config) {
    const double megabytes = fields.has("limits")
                                 ? fields.object("limits").number("memory_mb", kDefaultMemoryMegabytes)
                                 : kDefaultMemoryMegabytes;
    if (megabytes < kMinMemoryMegabytes)
        fields.throwError("limits.memory_mb", "must be 16 or more, found " + std::to_string(megabytes));
    config.maxMemoryBytes = static_cast<std::size_t>(megabytes * kBytesPerMegabyte);
}

void readDescriptorLimit(const Fields& fields, Config& config) {
    if (!fields.has("limits")) return;
    const int maxDescriptors = fields.object("limits").integer("sockets", kDefaultDescriptorLimit);
    if (maxDescriptors < kMinDescriptorLimit)
        fields.throwError("limits.sockets", "must be 64 or more, found " + std::to_string(maxDescriptors));
    config.maxDescriptors = static_cast<std::size_t>(maxDescriptors);
}

void readGatewaySettings(const Fields& fields, Config& config) {
    const Fields settings = fields.object("settings");
    config.settings = readSettings(settings);
    config.settings.maxTenants = config.maxMemoryBytes / 100 * kTenantsMemoryPercent / kBytesPerTenant;
    config.settings.maxExecutedRequests =
        config.maxMemoryBytes / 100 * kExecutedRequestsMemoryPercent / kBytesPerExecutedRequest;
    if (config.settings.counterEnabled && !config.counter)
        fields.throwError("counter", "is missing, but settings.domain.mayCount is true");
    settings.forEach("classes", [&](const Fields& item) { config.classNames.push_back(item.text("name")); });
    if (settings.has("contracts"))
        settings.forEach("contracts",
                         [&](const Fields& item) { config.planNames.push_back(item.text("name")); });
    config.upstreamKeepAlive = settings.object("allowed").seconds("keepaliveS", kDefaultKeepAliveSeconds);
    config.zoneAndKindNames = {readNames(settings, "zones"), readNames(settings, "kinds")};
}

}  // namespace

Config readConfig(const std::string& text, ConfigLoad load) {
    return rethrowFieldErrorAs<ConfigError>([&] {
        const Json document = parseJson(text, "config");
        const Fields fields(document, "config");
        Config config;
        readAddresses(fields, load, config);
        config.seed = readSeed(fields);
        readMemoryLimit(fields, config);
        readDescriptorLimit(fields, config);
        readGatewaySettings(fields, config);
        if (fields.has("known"))
            config.cachedEndpoints = readEndpointList(fields.object("known"), config.zoneAndKindNames);
        return config;
    });
}

Config loadConfig(ConfigLoad load) {
    const char* const path = std::getenv("EDGE_CONFIG");
    if (path == nullptr || *path == '\0')
        throw ConfigError("EDGE_CONFIG", "is not set; it must name the configuration file");
    const std::ifstream file(path);
    if (!file) throw ConfigError("EDGE_CONFIG", std::string("can't open the configuration file ") + path);
    std::ostringstream text;
    text << file.rdbuf();
    return readConfig(text.str(), load);
}

}  // namespace gateway::net
