// The side of the gateway that clients connect to.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <list>
#include <memory>

#include "net/client/client_session.h"
#include "net/transport/clock.h"
#include "net/transport/timer_queue.h"

namespace gateway::net {

// Accepts clients and owns their sessions. Ends sessions that hold a connection without using it: idle ones
// where the connection is needed for another client, and those of clients that stop sending or receiving.
class ClientServer final : private ClientSessionObserver {
public:
    struct Limits {
        std::size_t connections = 512;
        Duration listenAfterShutdown{};  // from drain() until the listener closes
        Duration idleGracePeriod{};      // from drain() until idle connections are closed
        Duration maxPartialTime{};  // to start the first request on a connection, and to send one completely
        Duration maxUndeliveredTime = std::chrono::seconds(10);  // to receive a response
    };
    struct Hooks {
        // See ClientSessionObserver.
        std::function<bool()> isReady;
        std::function<bool(ClientRequest&&, const std::shared_ptr<ClientSession>&)> startRequest;
        std::function<void(const RequestId&)> onDisconnect;
    };

    // `ioContext`, `timers` and `clock` must outlive the server.
    ClientServer(boost::asio::io_context& ioContext, TimerQueue& timers, const Clock& clock,
                 RequestRules rules, const Limits& limits, Hooks hooks);

    // Starts to accept clients. Throws boost::system::system_error if the address can't be bound.
    void listen(const tcp::endpoint& address);

    // The address that is listened on. Precondition: listen() has returned.
    tcp::endpoint address() const { return acceptor_.local_endpoint(); }

    // Answers the session's request in flight.
    void answer(ClientSession& session, const ClientResponse& response);

    // Ends the session that has been idle the longest, to free its descriptor. Returns false if none is idle.
    bool evictIdleClient();

    // Ends the session if its client has closed the connection, also if that has not been read yet. Returns
    // whether it has; Hooks::onDisconnect has been called then, if a request was in flight.
    static bool endIfDisconnected(ClientSession& session);

    // Shuts down gracefully: goes on listening for a while, answers what clients have sent, and calls `done`
    // when no session is left.
    void drain(std::function<void()> done);

private:
    using SessionPtr = std::shared_ptr<ClientSession>;

    const RequestRules& rules() const override { return rules_; }
    bool isReady() const override { return hooks_.isReady(); }
    bool isDraining() const override { return isDraining_; }
    bool startRequest(ClientRequest&& request, const SessionPtr& session) override;
    void onDisconnect(const RequestId& request) override { hooks_.onDisconnect(request); }
    void onActive(ClientSession& session) override;
    void onEnded(ClientSession& session) override;

    void accept();
    void onAccepted(const error_code& ec, tcp::socket&& socket);
    void startSession(tcp::socket&& socket);
    bool endIdleSession();
    void endStuckSessions();
    void endIdleSessionsWhileDraining();
    void stopListening();
    void reportDrained();

    boost::asio::io_context& ioContext_;
    TimerQueue& timers_;
    const Clock& clock_;
    RequestRules rules_;
    Limits limits_;
    Hooks hooks_;
    tcp::acceptor acceptor_;
    std::list<SessionPtr> sessions_;  // the most recently active one at the back
    bool isAccepting_ = false;        // an accept is pending, or must not be started
    bool isDraining_ = false;
    bool isListening_ = false;
    std::function<void()> onDrained_;
};

}  // namespace gateway::net
