// The server side: accepts clients, parses and checks their requests, writes one answer to each.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "gateway/events.h"
#include "gateway/settings.h"
#include "net/transport/tcp_connection.h"
#include "net/upstream/upstream_pool.h"

namespace gateway::net {

class ClientSession;

struct ClientRequest {
    RequestArrived told;  // its deadline counts from when the request came
    std::shared_ptr<const Forwarded> forwarded;
};

// What a client is told; `retryAfter` 0: nothing of when to come back.
struct ClientResponse {
    int status = 200;
    Duration retryAfter{};
    std::string_view contentType, body;
};

class ClientServer {
public:
    struct Rules {
        std::vector<RequestClass> classes;
        std::vector<std::string> classNames, planNames;
        int gatewayCount = 1;
        std::size_t connections = 512;
        Duration listenAfterShutdown{};  // once it drains
        Duration idleGracePeriod{};      // the same, for connections without a request
        Duration maxPartialTime{};       // for a connection's first request to begin, for one to come whole
        Duration maxUndeliveredTime = std::chrono::seconds(10);  // for an answer to be taken
        double maxRequestCost = 1;
    };
    struct Hooks {
        std::function<bool()> ready;
        // False where the id is in hand already: two requests can't share one.
        std::function<bool(ClientRequest&&, const std::shared_ptr<ClientSession>&)> request;
        std::function<void(const std::string& id)> onDisconnect;
    };

    ClientServer(boost::asio::io_context& io, TimerQueue& timers, const Clock& clock, Rules rules,
                 Hooks hooks);
    ~ClientServer();

    // Throws boost::system::system_error where the address can't be had.
    void listen(const tcp::endpoint& address);
    tcp::endpoint address() const { return acceptor_.local_endpoint(); }
    void answer(ClientSession& client, const ClientResponse& answer);
    // Ends the client that has been idle the longest, for a connection of another kind; false where none is.
    bool evictIdleClient();
    // True where the client has gone, though that may not have been read yet: it is taken to have left, and
    // Hooks::gone has been called by the time this returns.
    bool hasDisconnected(ClientSession& client);
    // Goes on listening for a while, answers what is taken, and reports when nobody is left.
    void drain(std::function<void()> done);

private:
    friend class ClientSession;
    using ConnectionPtr = std::shared_ptr<ClientSession>;

    void accept();
    void take(tcp::socket&& socket);
    bool reclaimDescriptor();
    void sweep();
    void sweepDraining();
    void left(ClientSession& client);

    boost::asio::io_context& io_;
    TimerQueue& timers_;
    const Clock& clock_;
    Rules rules_;
    Hooks hooks_;
    tcp::acceptor acceptor_;
    std::list<ConnectionPtr> clients_;  // the one heard of last at the back
    bool accepting_ = false, draining_ = false, listening_ = false;
    std::function<void()> drained_;
};

}  // namespace gateway::net
