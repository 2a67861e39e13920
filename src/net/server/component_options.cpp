#include "net/server/component_options.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace gateway::net {
namespace {

constexpr std::size_t kClientDescriptorPercent = 50;
constexpr std::size_t kUpstreamDescriptorPercent = 40;

// Shares of the memory limit. What is left is for the program, its tables and the allocator's overhead.
constexpr std::size_t kClientConnectionsMemoryPercent = 20;
constexpr std::size_t kClientMessagesMemoryPercent = 20;
constexpr std::size_t kUpstreamConnectionsMemoryPercent = 12;
constexpr std::size_t kUpstreamMessagesMemoryPercent = 12;

constexpr std::size_t kBytesPerClientConnection = 12UL * 1024;  // with kUnchargedBytesPerConnection
constexpr std::size_t kBytesPerUpstreamConnection = 9UL * 1024;

std::size_t percentOf(std::size_t total, std::size_t percent) {
    return total / 100 * percent;
}

DiscoverySchedule discoverySchedule(const Config& config) {
    const Settings& settings = config.settings;
    if (settings.discovery == DiscoveryMode::push) return DiscoverySchedule::forPush(config.seed);
    return DiscoverySchedule::forPolling(settings.gatewayIndex, settings.gatewayCount,
                                         settings.maxPollInterval, config.seed);
}

}  // namespace

ClientServer::Limits clientServerLimits(const Config& config) {
    ClientServer::Limits limits;
    limits.connections = std::min(
        config.maxDescriptors * kClientDescriptorPercent / 100,
        percentOf(config.maxMemoryBytes, kClientConnectionsMemoryPercent) / kBytesPerClientConnection);
    limits.messageBytes = percentOf(config.maxMemoryBytes, kClientMessagesMemoryPercent);
    limits.listenGracePeriod = config.timing.listenGracePeriod;
    limits.idleGracePeriod = config.timing.idleGracePeriod;
    limits.requestReadTimeout = config.timing.requestReadTimeout;
    return limits;
}

UpstreamClient::Limits upstreamClientLimits(const Config& config, ReclaimDescriptor reclaimDescriptor) {
    UpstreamClient::Limits limits;
    limits.maxConnections = std::min(
        config.maxDescriptors * kUpstreamDescriptorPercent / 100,
        percentOf(config.maxMemoryBytes, kUpstreamConnectionsMemoryPercent) / kBytesPerUpstreamConnection);
    limits.messageBytes = percentOf(config.maxMemoryBytes, kUpstreamMessagesMemoryPercent);
    limits.connectTimeout = config.settings.connectTimeout;
    limits.keepAlive = config.upstreamKeepAlive;
    limits.reuseDelay = config.timing.reuseDelay;
    limits.drainGracePeriod = config.settings.drainGracePeriod;
    limits.reclaimDescriptor = std::move(reclaimDescriptor);
    return limits;
}

CounterClient::Limits counterClientLimits(const Config& config, ReclaimDescriptor reclaimDescriptor) {
    CounterClient::Limits limits;
    limits.callTimeout = config.settings.counterTimeout;
    limits.connectTimeout = config.settings.connectTimeout;
    limits.reclaimDescriptor = std::move(reclaimDescriptor);
    return limits;
}

DiscoveryClient::Options discoveryClientOptions(const Config& config, ReclaimDescriptor reclaimDescriptor) {
    return {config.discovery, config.zoneAndKindNames, config.cachedEndpoints.version,
            discoverySchedule(config), std::move(reclaimDescriptor)};
}

RequestRules requestRules(const Config& config) {
    RequestRules rules;
    rules.classes = config.settings.classes;
    rules.classNames = config.classNames;
    rules.planNames = config.planNames;
    rules.gatewayCount = config.settings.gatewayCount;
    rules.maxRequestCost = config.settings.maxRequestCost;
    return rules;
}

Readiness::Limits readinessLimits(const Config& config) {
    Readiness::Limits limits;
    limits.emptyListWait = config.timing.emptyListWait;
    limits.initialUpdateWait = config.timing.initialUpdateWait;
    return limits;
}

}  // namespace gateway::net
