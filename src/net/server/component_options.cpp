#include "net/server/component_options.h"

#include <cstddef>
#include <utility>

namespace gateway::net {
namespace {

constexpr std::size_t kClientDescriptorPercent = 50;
constexpr std::size_t kUpstreamDescriptorPercent = 40;

DiscoverySchedule discoverySchedule(const Config& config) {
    const Settings& settings = config.settings;
    if (settings.discovery == DiscoveryMode::push) return DiscoverySchedule::forPush(config.seed);
    return DiscoverySchedule::forPolling(settings.gatewayIndex, settings.gatewayCount,
                                         settings.maxPollInterval, config.seed);
}

}  // namespace

ClientServer::Limits clientServerLimits(const Config& config) {
    ClientServer::Limits limits;
    limits.connections = config.maxDescriptors * kClientDescriptorPercent / 100;
    limits.listenGracePeriod = config.timing.listenGracePeriod;
    limits.idleGracePeriod = config.timing.idleGracePeriod;
    limits.requestReadTimeout = config.timing.requestReadTimeout;
    return limits;
}

UpstreamClient::Limits upstreamClientLimits(const Config& config, ReclaimDescriptor reclaimDescriptor) {
    UpstreamClient::Limits limits;
    limits.maxConnections = config.maxDescriptors * kUpstreamDescriptorPercent / 100;
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
