// Owns the decision engine and the network parts: hands the engine events, and executes its actions. Decides
// nothing.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "gateway/decision_engine.h"
#include "net/client/client_server.h"
#include "net/config/config.h"
#include "net/counter/counter_client.h"
#include "net/discovery/discovery_client.h"
#include "net/transport/clock.h"
#include "net/transport/timer_queue.h"
#include "net/upstream/upstream_pool.h"

namespace gateway::net {

class GatewayServer {
public:
    // `io` and `config` must outlive the server. Throws SettingsError where the settings can't be served.
    GatewayServer(boost::asio::io_context& io, const Config& config);

    // Begins to listen. Throws boost::system::system_error where the address can't be had.
    void start();

    // Sees to it that a file can be opened now, if need be at the cost of an idle connection.
    void ensureDescriptor();

    // Goes over to the discovery and the counter that `config` names; all else stays.
    void reload(const Config& config);

    // Answers what is taken, lets what is pending for the counter go out, then reports; nothing new is begun
    // after that.
    void drain(std::function<void()> done);

    tcp::endpoint address() const { return clients_.address(); }

private:
    using Moment = std::chrono::steady_clock::time_point;

    struct Request {
        std::shared_ptr<const ForwardedRequest> forwarded;
        std::shared_ptr<ClientSession> client;  // null once it was answered or has disconnected
        std::vector<AttemptId> attempts;
        std::size_t inFlight = 0;  // of them
    };
    struct Attempt {
        RequestId request;
        EndpointId endpoint;
        int number = 0;  // in its request, from 0
    };

    bool onRequest(ClientRequest&& request, const std::shared_ptr<ClientSession>& client);
    void onDisconnect(const RequestId& id);
    void onEndpointList(const EndpointList& list, UpdateKind kind);
    void onAttemptEnded(AttemptId id, AttemptResult&& result);
    bool isAttemptWanted(AttemptId id);

    void dispatch(Event event);
    void handleQueuedEvents();

    void execute(const SendAttempt& action);
    void execute(const CancelAttempt& action);
    void execute(const RejectRequest& action);
    void execute(const FailRequest& action);
    void execute(const AddToCounter& action);
    void execute(const SetTimer& action);
    void execute(const WatchEndpoints&) {}  // the watch is always on

    bool hasClient(const RequestId& id);
    void answer(const RequestId& id, const ClientResponse& response);
    void forgetIfDone(const RequestId& id);
    bool reclaimDescriptor();
    void stopWhenReconciled(Moment deadline, std::function<void()> done);

    UpstreamPool::Hooks upstreamHooks();
    ClientServer::Hooks clientHooks();
    DiscoveryClient::Options discoveryOptions();
    CounterClient::Limits counterLimits();

    boost::asio::io_context& io_;
    const Config& config_;
    Clock clock_;
    TimerQueue timers_;
    DecisionEngine engine_;
    UpstreamPool upstreams_;
    std::optional<CounterClient> counter_;
    ClientServer clients_;
    DiscoveryClient discovery_;
    std::unordered_map<RequestId, Request> requests_;
    std::unordered_map<AttemptId, Attempt> attempts_;
    std::uint64_t lastAttempt_ = 0;
    std::deque<Event> events_;
    Actions actions_;
    std::size_t timersInFlight_ = 0;  // set by the engine, and not fired yet
    bool handling_ = false;
    bool hasList_ = false;
    bool isListCurrent_ = false;  // discovery has reported what it has, or was waited for long enough
};

}  // namespace gateway::net
