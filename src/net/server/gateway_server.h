// Wires the decision engine to the network: network events go to the engine, and its actions to the network
// components. Makes no decisions.
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
#include "net/discovery/discovery_client.h"
#include "net/server/event_loop_dispatcher.h"
#include "net/server/graceful_shutdown.h"
#include "net/server/readiness.h"
#include "net/server/request_registry.h"
#include "net/transport/clock.h"
#include "net/transport/timer_queue.h"
#include "net/upstream/upstream_pool.h"

namespace gateway::net {

// One gateway: its clients, endpoints, counter service and discovery. All functions must be called from the
// thread that runs the event loop.
class GatewayServer {
public:
    // `ioContext` and `config` must outlive the server, and the server every handler that `ioContext` runs.
    // Throws SettingsError if the settings can't be served.
    GatewayServer(boost::asio::io_context& ioContext, const Config& config);
    GatewayServer(const GatewayServer&) = delete;
    GatewayServer& operator=(const GatewayServer&) = delete;
    ~GatewayServer() = default;

    // Starts discovery and listens for clients. Must be called once only. Throws boost::system::system_error
    // if the address can't be listened on.
    void start();

    // Makes sure that one descriptor is free, as for opening a file. Closes an idle connection if there is
    // none.
    void ensureDescriptor();

    // Moves to the addresses of discovery and of the counter in `config`. All else keeps the configuration
    // that the server was constructed with.
    void reload(const Config& config);

    // Shuts down gracefully and calls `onComplete` at the end: see GracefulShutdown. Must be called once
    // only.
    void drain(std::function<void()> onComplete);

    // The address that clients connect to. Precondition: start() has returned.
    tcp::endpoint address() const { return clients_.address(); }

private:
    EventLoopDispatcher::Handlers dispatcherHandlers();
    UpstreamPool::Hooks upstreamHooks();
    ClientServer::Hooks clientHooks();
    GracefulShutdown::Hooks shutdownHooks();

    void handleEndpointList(const EndpointList& list, UpdateKind kind);
    bool handleRequest(ClientRequest&& request, const std::shared_ptr<ClientSession>& client);
    void handleDisconnect(const RequestId& id);
    void handleAttemptEnded(AttemptId id, AttemptResult&& result);

    void execute(const SendAttempt& action);
    void execute(const CancelAttempt& action);
    void execute(const RejectRequest& action);
    void execute(const FailRequest& action);
    void execute(const AddToCounter& action);
    void execute(const SetTimer& action);
    void execute(const WatchEndpoints&) {}  // discovery is watched from start() on

    static void disconnectIfClosed(const std::shared_ptr<ClientSession>& client);
    bool hasWaitingClient(const RequestId& id) const { return requests_.client(id) != nullptr; }
    void answer(const RequestId& id, const ClientResponse& response);
    bool reclaimDescriptor();
    bool isReconciled() const;

    boost::asio::io_context& ioContext_;
    const Config& config_;
    Clock clock_;
    TimerQueue timers_;
    DecisionEngine engine_;
    RequestRegistry requests_;
    EventLoopDispatcher dispatcher_;
    Readiness readiness_;
    UpstreamPool upstreams_;
    std::optional<CounterClient> counter_;  // absent where the configuration names no counter
    ClientServer clients_;
    DiscoveryClient discovery_;
    GracefulShutdown shutdown_;
    std::size_t engineTimersInFlight_ = 0;  // set by the engine and not fired yet
};

}  // namespace gateway::net
