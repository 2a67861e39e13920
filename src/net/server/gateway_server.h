// Owns the decision module: hands it events, carries out its actions. Decides nothing.
#pragma once

#include <boost/asio/io_context.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "gateway/decision_engine.h"
#include "net/client/client_server.h"
#include "net/config/config.h"
#include "net/counter/counter_client.h"
#include "net/discovery/discovery_client.h"
#include "net/upstream/upstream_pool.h"

namespace gateway::net {

class GatewayServer {
public:
    GatewayServer(boost::asio::io_context& io, const Config& config);
    ~GatewayServer();

    void start();
    // Sees to it that a file can be opened now, if need be at the cost of a connection that rests.
    void ensureDescriptor();
    // Goes over to the discovery and the counter that `config` names; all else stays.
    void reload(const Config& config);
    // Answers what is taken, lets what is owed to the counter go out, then reports; nothing new is begun
    // after that.
    void drain(std::function<void()> done);
    tcp::endpoint address() const { return listener_.address(); }

private:
    struct Request {
        std::shared_ptr<const Forwarded> forwarded;
        std::shared_ptr<ClientSession> client;  // null once it was answered or has gone away
        std::vector<UpstreamPool::Number> attempts;
        std::size_t outstanding = 0;
    };
    struct AttemptOf {
        std::string request, endpoint;
        int number = 0;
    };

    bool onRequest(ClientRequest&& request, const std::shared_ptr<ClientSession>& client);
    void onDisconnect(const std::string& id);
    void onEndpointUpdate(const EndpointList& list, UpdateKind scope);
    void attemptEnded(UpstreamPool::Number number, AttemptResult&& result);
    bool hasClient(const std::string& id);

    template <class Event>
    void dispatch(Event&& event) {
        events_.emplace_back(std::forward<Event>(event));
        if (!running_) run();
    }
    void run();
    void settle(std::chrono::steady_clock::time_point until, std::function<void()> done);
    void execute(const SendAttempt& a);
    void execute(const CancelAttempt& a);
    void execute(const RejectRequest& a);
    void execute(const FailRequest& a);
    void execute(const AddToCounter& a);
    void execute(const SendHealthCheck& a);
    void execute(const SetTimer& a);
    void execute(const WatchEndpoints&) {}  // the watch is always on
    void execute(const PollEndpoints&) {}
    void execute(const LogLine& a);
    void finish(const std::string& id, const ClientResponse& answer);
    void forgetIfDone(const std::string& id);
    bool reclaimDescriptor();

    boost::asio::io_context& io_;
    const Config& config_;
    Clock clock_;
    TimerQueue timers_;
    DecisionEngine engine_;
    UpstreamPool endpoints_;
    std::optional<CounterClient> counter_;
    ClientServer listener_;
    DiscoveryClient discovery_;
    std::unordered_map<std::string, Request> requests_;
    std::unordered_map<UpstreamPool::Number, AttemptOf> attempts_;
    UpstreamPool::Number nextAttempt_ = 1;
    std::deque<Event> events_;
    Actions actions_;
    std::size_t timersSet_ = 0;  // by the module, and not fired yet
    bool running_ = false;
    bool listKnown_ = false;
    bool listCurrent_ = false;  // discovery has told what it has, or was waited for long enough
};

}  // namespace gateway::net
