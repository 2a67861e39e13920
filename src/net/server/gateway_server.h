// Connects the decision engine to the network: passes network events to the engine, and the engine's actions
// to the network components. Makes no decisions itself.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>

#include "gateway/decision_engine.h"
#include "net/client/client_server.h"
#include "net/config/config.h"
#include "net/counter/counter_client.h"
#include "net/discovery/address_owners.h"
#include "net/discovery/discovery_client.h"
#include "net/server/event_dispatcher.h"
#include "net/server/graceful_shutdown.h"
#include "net/server/readiness.h"
#include "net/server/request_registry.h"
#include "net/transport/clock.h"
#include "net/transport/timer_queue.h"
#include "net/upstream/upstream_client.h"

namespace gateway::net {

// One gateway with its connections to clients, endpoints, the counter service and discovery. All functions
// must be called from the thread that runs the event loop.
class GatewayServer {
public:
    // `ioContext` and `config` must outlive the server. `ioContext` must not run a handler after the server
    // is destroyed. Throws SettingsError if the settings are invalid.
    GatewayServer(boost::asio::io_context& ioContext, const Config& config);
    GatewayServer(const GatewayServer&) = delete;
    GatewayServer& operator=(const GatewayServer&) = delete;
    ~GatewayServer() = default;

    // Starts discovery and listens for clients. Must be called only once. Throws boost::system::system_error
    // if listening on the configured address fails.
    void start();

    // If no file descriptor is free, closes an idle connection, if there is one. Called before a file is
    // opened.
    void tryToFreeDescriptor();

    // Changes the addresses of discovery and of the counter service to those in `config`. The counter's
    // address changes only if both the initial configuration and `config` have one. Ignores all other changes
    // in `config`.
    void reload(const Config& config);

    // Shuts down gracefully, then calls `onComplete`: see GracefulShutdown. Must be called only once.
    void shutDown(std::function<void()> onComplete);

    // The address that clients connect to. Precondition: start() has returned.
    tcp::endpoint address() const { return clientServer_.address(); }

private:
    EventDispatcher::Handlers dispatcherHandlers();
    UpstreamClient::Hooks upstreamHooks();
    ClientServer::Hooks clientHooks();
    GracefulShutdown::Hooks shutdownHooks();

    void handleEndpointList(EndpointList list, UpdateKind kind);
    bool handleRequest(ClientRequest&& request, const std::shared_ptr<ClientSession>& client);
    void handleDisconnect(const RequestId& id);
    void handleAttemptEnded(AttemptId id, AttemptResult&& result);

    void execute(const SendAttempt& action);
    void execute(const CancelAttempt& action);
    void execute(const RejectRequest& action);
    void execute(const FailRequest& action);
    void execute(const AddToCounter& action);
    void execute(const SetTimer& action);
    void execute(const WatchEndpoints&) {}  // start() starts the watch, whether or not the engine requests it

    static void disconnectIfClosed(const std::shared_ptr<ClientSession>& client);
    bool hasWaitingClient(const RequestId& id) const { return requests_.client(id) != nullptr; }
    void answer(const RequestId& id, const ClientResponse& response);
    bool reclaimDescriptor();
    bool hasNoPendingUsage() const;

    boost::asio::io_context& ioContext_;
    const Config& config_;
    Clock clock_;
    TimerQueue timers_;
    DecisionEngine engine_;
    RequestRegistry requests_;
    EventDispatcher dispatcher_;
    Readiness readiness_;
    AddressOwners addressOwners_;
    UpstreamClient upstreamClient_;
    std::optional<CounterClient> counter_;  // absent if none is configured
    ClientServer clientServer_;
    DiscoveryClient discovery_;
    GracefulShutdown shutdown_;
    std::size_t pendingEngineTimers_ = 0;  // set by the engine, not fired yet
};

}  // namespace gateway::net
