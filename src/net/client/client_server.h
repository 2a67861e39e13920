// The server side: accepts clients, keeps their sessions and ends those that hold a place for nothing.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <list>
#include <memory>

#include "net/client/client_session.h"
#include "net/transport/clock.h"
#include "net/transport/timer_queue.h"

namespace gateway::net {

class ClientServer final : private ClientSession::Owner {
public:
    struct Limits {
        std::size_t connections = 512;
        Duration listenAfterShutdown{};  // once it drains
        Duration idleGracePeriod{};      // the same, for connections without a request
        Duration maxPartialTime{};       // for a connection's first request to begin, for one to come whole
        Duration maxUndeliveredTime = std::chrono::seconds(10);  // for a response to be taken
    };
    struct Hooks {
        std::function<bool()> isReady;
        // False where the id is in flight already: two requests can't share one.
        std::function<bool(ClientRequest&&, const std::shared_ptr<ClientSession>&)> onRequest;
        std::function<void(const RequestId&)> onDisconnect;
    };

    // `io`, `timers` and `clock` must outlive the server.
    ClientServer(boost::asio::io_context& io, TimerQueue& timers, const Clock& clock, RequestRules rules,
                 const Limits& limits, Hooks hooks);

    // Throws boost::system::system_error where the address can't be had.
    void listen(const tcp::endpoint& address);
    tcp::endpoint address() const { return acceptor_.local_endpoint(); }

    void answer(ClientSession& session, const ClientResponse& response);

    // Ends the client that has been idle the longest, for a connection of another kind; false where none is.
    bool evictIdleClient();

    // True where the client has gone, though that may not have been read yet: it is taken to have left, and
    // Hooks::onDisconnect has been called by the time this returns.
    static bool hasDisconnected(ClientSession& session);

    // Goes on listening for a while, answers what is taken, and reports when nobody is left.
    void drain(std::function<void()> done);

private:
    using SessionPtr = std::shared_ptr<ClientSession>;

    const RequestRules& rules() const override { return rules_; }
    bool isReady() const override { return hooks_.isReady(); }
    bool isDraining() const override { return draining_; }
    bool onRequest(ClientRequest&& request, const SessionPtr& session) override;
    void onDisconnect(const RequestId& request) override { hooks_.onDisconnect(request); }
    void onActive(ClientSession& session) override;
    void onEnded(ClientSession& session) override;

    void accept();
    void beginSession(tcp::socket&& socket);
    bool endIdleSession();
    void endStuckSessions();
    void endIdleSessionsWhileDraining();
    void stopListening();
    void reportIfDrained();

    boost::asio::io_context& io_;
    TimerQueue& timers_;
    const Clock& clock_;
    RequestRules rules_;
    Limits limits_;
    Hooks hooks_;
    tcp::acceptor acceptor_;
    std::list<SessionPtr> sessions_;  // the one heard of last at the back
    bool accepting_ = false;
    bool draining_ = false;
    bool listening_ = false;
    std::function<void()> onDrained_;
};

}  // namespace gateway::net
