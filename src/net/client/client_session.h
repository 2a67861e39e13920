// One connection of a client.
#pragma once

#include <boost/beast/http/status.hpp>
#include <chrono>
#include <cstddef>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include "net/client/client_request.h"
#include "net/client/client_request_reader.h"
#include "net/client/client_response.h"
#include "net/transport/clock.h"
#include "net/transport/memory_budget.h"
#include "net/transport/tcp_connection.h"

namespace gateway::net {

class ClientSession;

// Receives the events of client sessions, and gives them the state of the gateway that they depend on.
class ClientSessionObserver {
public:
    virtual ~ClientSessionObserver() = default;

    virtual const RequestRules& rules() const = 0;
    // Returns whether the gateway is ready as defined by Readiness, even if it is draining.
    virtual bool isReady() const = 0;
    // Returns whether the gateway is shutting down: it answers requests and closes idle connections.
    virtual bool isDraining() const = 0;
    // Returns when the gateway stopped, or will stop, to serve further requests because it is shutting down.
    // A request that arrives later might still be in flight when the process is killed.
    virtual TimePoint lastRequestAt() const = 0;
    // Returns whether the shutdown has lasted so long that a session ends after its next response, even if
    // its client has sent more requests. Else a client that sends without end would delay it without end.
    virtual bool isDrainOverdue() const = 0;

    // Called after the session's messages have grown. Ends other sessions, or this one, if the budget is
    // exceeded. Returns whether it is still exceeded.
    virtual bool isMemoryExhausted() = 0;

    // Starts to serve a request. The response is sent by ClientSession::answer(), possibly before this
    // function returns. Returns false, and does nothing, if a request with the same id is in flight.
    virtual bool startRequest(ClientRequest&& request, const std::shared_ptr<ClientSession>& session) = 0;
    // Called when the session ends before its request was answered.
    virtual void onDisconnect(const RequestId& request) = 0;
    // Called each time before the session reads input: when bytes were received while no request is in
    // flight, and after a response if bytes of the next request had been received.
    virtual void onActive(ClientSession& session) = 0;
    // Called when a response that the kernel accepted only in part at first was accepted completely.
    virtual void onResponseWritten() = 0;
    // Called once, when the session has ended.
    virtual void onEnded(ClientSession& session) = 0;
};

// Reads a client's requests one at a time and writes one response to each. Answers malformed requests and
// readiness checks itself. Reads the next request after the kernel has accepted the response. Meanwhile the
// session receives pipelined bytes up to a limit, leaves further ones in the kernel, and notices when the
// client closes the connection.
class ClientSession final : public TcpConnection {
public:
    using Position = std::list<std::shared_ptr<ClientSession>>::iterator;

    // `observer`, `timers` and `clock` must outlive the session.
    ClientSession(tcp::socket&& socket, ClientSessionObserver& observer, TimerQueue& timers,
                  const Clock& clock, const std::shared_ptr<MemoryBudget>& memoryBudget);

    // The session's position in its owner's list of sessions. Only the owner uses it.
    void setPosition(Position position) { position_ = position; }
    Position position() const { return position_; }

    // Answers the request in flight.
    void answer(const ClientResponse& response);

    // Answers with this status and then closes the connection.
    void answerAndClose(boost::beast::http::status status);

    // Closes the connection at once. Has no effect on a session that has ended.
    void end();

    // Returns whether a request is incomplete and no byte of it arrived within `maxSilence`, or it has been
    // incomplete for longer than `maxTime`.
    bool isSendingSlowly(Duration maxSilence, Duration maxTime) const;

    // Returns whether the client has sent invalid requests or readiness checks, for longer than `time`,
    // faster than they were answered, or has not received a response for longer than that. A client that
    // sends valid requests at once is not overloaded, because each of them must be answered.
    bool isOverloadedFor(Duration time) const;

    // Answers the requests that were read, and then closes the connection.
    void closeAfterReadRequests();

    // Returns whether the last response was accepted by the kernel at least `time` ago.
    bool hasLingeredFor(Duration time) const;

    // Returns what the session takes from the memory budget.
    std::size_t chargedBytes() const { return memory_.bytes(); }

    // Returns whether no request is in flight, being received or being answered.
    bool isIdle() const { return !isBusy_ && !isLingering_ && !reader_.isPartial() && isFlushed(); }

    // Returns whether no response has been sent.
    bool isBeforeFirstResponse() const { return responses_ == 0; }

    // Returns whether no response has been sent and no byte received.
    bool isUnused() { return isBeforeFirstResponse() && isIdle() && !hasInput(); }

    // Returns how long the client has been sending an incomplete request, or how long ago a response was sent
    // that the kernel has not accepted completely; 0 if neither is the case. For the first request, the time
    // is measured from the start of the connection.
    Duration stalledFor(TimePoint now) const;

    // Returns when the session last received bytes or sent a response.
    std::chrono::steady_clock::time_point lastActiveAt() const { return lastActiveAt_; }

private:
    void onReceived() override;
    void onOutputWritten() override;
    void onClosed() override { end(); }

    void readNext();
    void scheduleReadNext();
    void limitPipelinedInput();
    void awaitDisconnect();
    bool isWaitingToRead() const { return isBusy_ || isReadScheduled_ || !isFlushed(); }
    void chargeMemory();
    void handleIncompleteRequest();
    void serve(HttpRequest&& message);
    void startRequest(ClientRequest&& request);
    void answerReadiness(const HttpRequest& message);
    void answerInvalid(boost::beast::http::status status);
    bool shouldStayOpen();
    void linger();
    std::shared_ptr<ClientSession> self() {
        return std::static_pointer_cast<ClientSession>(shared_from_this());
    }

    // Received while a request is in flight.
    static constexpr std::size_t kMaxPipelinedBytes = 4UL * 1024;

    ClientSessionObserver& observer_;
    TimerQueue& timers_;
    const Clock& clock_;
    Position position_{};
    ClientRequestReader reader_;
    RequestId request_;  // the request in flight, if isBusy_
    std::shared_ptr<MemoryBudget> memoryBudget_;
    MemoryCharge memory_;  // of the buffers and the incomplete request
    TimePoint acceptedAt_;
    TimePoint blockedAt_{};  // when a response was sent that the kernel did not accept completely
    std::chrono::steady_clock::time_point lastActiveAt_ = std::chrono::steady_clock::now();
    TimePoint lastReceivedAt_{};
    // Since when the kernel may have had bytes that were not read. The timeouts of requests in these bytes
    // are counted from then, because it is not known when the bytes arrived.
    std::optional<TimePoint> unreadSince_;
    std::uint64_t responses_ = 0;
    TimerQueue::Token lingerTimer_ = 0;
    bool isAwaitingDisconnect_ = false;
    bool isReadScheduled_ = false;  // of the next request, whose first bytes were received
    bool hasEnded_ = false;
    bool isBusy_ = false;       // a request is in flight
    bool isLingering_ = false;  // the last response was sent, and the client should close the connection
    bool isClosing_ = false;    // nothing further is read; see closeAfterReadRequests()
    bool hasSentContinue_ = false;
    bool isLatestRequestValid_ = false;  // the latest request was one that can be forwarded
    bool keepAlive_ = true;              // the client wants to send more requests
};

}  // namespace gateway::net
