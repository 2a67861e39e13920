// One connection of a client.
#pragma once

#include <boost/beast/http/status.hpp>
#include <chrono>
#include <list>
#include <memory>
#include <string>

#include "net/client/client_request.h"
#include "net/client/client_request_reader.h"
#include "net/client/client_response.h"
#include "net/transport/clock.h"
#include "net/transport/tcp_connection.h"

namespace gateway::net {

class ClientSession;

// Receives the events of client sessions, and answers what a session needs to know of the gateway.
class ClientSessionObserver {
public:
    virtual ~ClientSessionObserver() = default;

    virtual const RequestRules& rules() const = 0;
    // The gateway has an endpoint list and may be sent requests.
    virtual bool isReady() const = 0;
    // The gateway is shutting down: it answers requests and closes idle connections.
    virtual bool isDraining() const = 0;

    // Takes over a request, and answers it later by ClientSession::answer(), possibly before this returns.
    // Returns false, and does nothing, if a request with the same id is in flight.
    virtual bool startRequest(ClientRequest&& request, const std::shared_ptr<ClientSession>& session) = 0;
    // The session ended before its request was answered.
    virtual void onDisconnect(const RequestId& request) = 0;
    // The session is about to read a request, or waits for one.
    virtual void onActive(ClientSession& session) = 0;
    // The session has ended. Called once.
    virtual void onEnded(ClientSession& session) = 0;
};

// Reads a client's requests one at a time and writes one response to each. Answers malformed requests and
// readiness checks itself. While a request is in flight it receives pipelined bytes, up to a limit, and so
// notices that the client closes the connection.
class ClientSession final : public TcpConnection {
public:
    using Position = std::list<std::shared_ptr<ClientSession>>::iterator;

    // `observer`, `timers` and `clock` must outlive the session.
    ClientSession(tcp::socket&& socket, ClientSessionObserver& observer, TimerQueue& timers,
                  const Clock& clock);

    // The session's place in its owner's list. For the owner alone.
    void setPosition(Position position) { position_ = position; }
    Position position() const { return position_; }

    // Answers the request in flight.
    void answer(const ClientResponse& response);

    // Answers with this status and closes the connection.
    void answerAndClose(boost::beast::http::status status);

    // Ends the session at once, unless it has ended already.
    void end();

    // No request is in flight, being received or being answered.
    bool isIdle() const { return !isBusy_ && !isLingering_ && !reader_.isPartial() && allWritten(); }

    // No response has been sent.
    bool isFresh() const { return responses_ == 0; }

    // No response has been sent and no byte received.
    bool hasExchangedNothing() { return isFresh() && isIdle() && !hasInput(); }

    // How long the client has taken so far to send a request completely, or to receive a response. The time
    // for a first request starts with the connection. 0 if neither is going on.
    Duration stuckFor(TimePoint now) const;

    // When bytes were last received or a response was sent.
    std::chrono::steady_clock::time_point activeAt() const { return activeAt_; }

private:
    void onReceived() override;
    void onSendDrained() override;
    void onClosed() override { end(); }

    void readNext();
    void continueIncompleteRequest();
    void serve(const HttpRequest& message);
    void answerReadiness(const HttpRequest& message);
    void answerInvalid(boost::beast::http::status status);
    bool shouldStayOpen();
    void linger();
    std::shared_ptr<ClientSession> self() {
        return std::static_pointer_cast<ClientSession>(shared_from_this());
    }

    ClientSessionObserver& observer_;
    TimerQueue& timers_;
    const Clock& clock_;
    Position position_{};
    ClientRequestReader reader_;
    RequestId request_;   // in flight, while isBusy_
    std::string output_;  // kept for its capacity
    TimePoint acceptedAt_;
    TimePoint blockedAt_{};  // when a response was sent that the kernel did not take completely
    std::chrono::steady_clock::time_point activeAt_ = std::chrono::steady_clock::now();
    std::uint64_t responses_ = 0;
    bool hasEnded_ = false;
    bool isBusy_ = false;       // a request is in flight
    bool isLingering_ = false;  // the last response was sent; the client's close is awaited
    bool hasSentContinue_ = false;
    bool keepAlive_ = true;  // the client wants to send more requests
};

}  // namespace gateway::net
