// The server that accepts connections of clients.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <list>
#include <memory>

#include "net/client/client_session.h"
#include "net/client/shed_log.h"
#include "net/transport/clock.h"
#include "net/transport/timer_queue.h"

namespace gateway::net {

// Accepts clients and owns their sessions. Ends idle sessions when their connections are needed for other
// clients, and the sessions of clients that stop sending a request or receiving a response. At the limit of
// connections or of memory it rejects incomplete requests, the oldest first.
class ClientServer final : private ClientSessionObserver {
public:
    struct Limits {
        std::size_t connections = 512;
        std::size_t messageBytes =
            64UL * 1024 * 1024;        // of all requests and unread responses; see MemoryBudget
        Duration listenGracePeriod{};  // time from drain() until the listener closes
        Duration idleGracePeriod{};    // time from drain() until idle connections are closed
        // Time from accepting a connection until its first request is complete; for a later request, from the
        // start of reading it until it is complete.
        Duration requestReadTimeout{};
        Duration responseWriteTimeout = std::chrono::seconds(10);  // for a client to receive a response
        // Time that a new connection has for the first bytes of its first request, before it may be ended to
        // make room for another client.
        Duration newConnectionGrace = std::chrono::milliseconds(10);
    };
    // The functions of ClientSessionObserver that the server delegates to its owner.
    struct Hooks {
        std::function<bool()> isReady;
        std::function<bool(ClientRequest&&, const std::shared_ptr<ClientSession>&)> startRequest;
        std::function<void(const RequestId&)> onDisconnect;
    };

    // `ioContext`, `timers` and `clock` must outlive the server.
    ClientServer(boost::asio::io_context& ioContext, TimerQueue& timers, const Clock& clock,
                 RequestRules rules, const Limits& limits, Hooks hooks);

    // Listens on `address` and accepts clients. Throws boost::system::system_error if the address can't be
    // bound.
    void listen(const tcp::endpoint& address);

    // Returns the address that the server listens on. Precondition: listen() has returned.
    tcp::endpoint address() const { return acceptor_.local_endpoint(); }

    // Answers the session's request in flight.
    void answer(ClientSession& session, const ClientResponse& response);

    // Ends the idle session that was accepted or read input longest ago, to free its descriptor. Spares new
    // connections as at the limit of connections. Returns false if there is none.
    bool evictIdleClient();

    // Ends the session if its client has closed the connection, even if the event loop has not reported that
    // yet. Returns whether the client has closed it; Hooks::onDisconnect was then called for a request in
    // flight.
    static bool endIfDisconnected(ClientSession& session);

    // Shuts down gracefully: continues to listen for Limits::listenGracePeriod, answers the requests that
    // clients have sent, and calls `done` when no session is left.
    void drain(std::function<void()> done);

private:
    using SessionPtr = std::shared_ptr<ClientSession>;

    const RequestRules& rules() const override { return rules_; }
    bool isReady() const override { return hooks_.isReady(); }
    bool isDraining() const override { return isDraining_; }
    TimePoint lastRequestAt() const override { return lastRequestAt_; }
    bool isDrainOverdue() const override { return clock_.now() > drainDeadline_; }
    bool isMemoryExhausted() override;
    bool startRequest(ClientRequest&& request, const SessionPtr& session) override;
    void onDisconnect(const RequestId& request) override { hooks_.onDisconnect(request); }
    void onActive(ClientSession& session) override;
    void onResponseWritten() override;
    void onEnded(ClientSession& session) override;

    void awaitClient();
    void acceptClient();
    void handleAcceptFailure(const error_code& ec);
    bool makeRoom();
    void shedSlowRequests();
    bool shedLargestHolder();
    void retryAccept(Duration delay);
    void startSession(tcp::socket&& socket);
    bool endIdleSession();
    void endStalledSessions();
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
    std::shared_ptr<MemoryBudget> memoryBudget_;
    ShedLog shedLog_;
    std::list<SessionPtr> sessions_;  // the one that was accepted or read input last at the back
    TimePoint lastRequestAt_ = TimePoint::max();
    TimePoint drainDeadline_ = TimePoint::max();  // when every request that is served should be answered
    bool isAwaitingClient_ = false;               // a wait for a client in the backlog is pending
    bool isRetryScheduled_ = false;               // of an accept
    Duration acceptPause_{};                      // after the next failed accept; 0: none
    bool isDraining_ = false;
    bool isListening_ = false;
    std::function<void()> onDrained_;
};

}  // namespace gateway::net
