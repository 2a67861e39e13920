// One connection of a client: reads its requests one at a time and writes one response to each.
#pragma once

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include "net/client/arrival_log.h"
#include "net/client/client_request.h"
#include "net/client/client_response.h"
#include "net/transport/clock.h"
#include "net/transport/tcp_connection.h"

namespace gateway::net {

class ClientSession final : public TcpConnection {
public:
    using Position = std::list<std::shared_ptr<ClientSession>>::iterator;

    // What a session needs of the server that it belongs to.
    class Owner {
    public:
        Owner() = default;
        Owner(const Owner&) = delete;
        Owner& operator=(const Owner&) = delete;
        virtual ~Owner() = default;

        virtual const RequestRules& rules() const = 0;
        virtual bool isReady() const = 0;
        virtual bool isDraining() const = 0;
        // Hands on a request; false where its id is in flight already.
        virtual bool onRequest(ClientRequest&& request, const std::shared_ptr<ClientSession>& session) = 0;
        // The client left before it had an answer to its request.
        virtual void onDisconnect(const RequestId& request) = 0;
        // The session was active: it is the last one to be ended for want of room.
        virtual void onActive(ClientSession& session) = 0;
        // The session is over.
        virtual void onEnded(ClientSession& session) = 0;
    };

    // `owner`, `timers` and `clock` must outlive the session.
    ClientSession(tcp::socket&& socket, Owner& owner, TimerQueue& timers, const Clock& clock);

    // Where the owner keeps it.
    Position position;

    // Answers the request in hand.
    void answer(const ClientResponse& response);

    // Answers with this status and ends the connection.
    void answerAndClose(int status);

    // Ends the session: its client left, or is made to.
    void leave();

    bool isIdle() const { return !busy_ && !lingering_ && !partial_ && allWritten(); }

    // No response was sent yet.
    bool isFresh() const { return responses_ == 0; }

    // It has never sent a byte, or part of a request and no more: such clients wait for nothing.
    bool isSilent() { return isFresh() && isIdle() && !hasInput(); }

    // How long it is that a request is coming, the first one since the connection came, or that a response
    // waits to be taken by the client. 0 where neither is so.
    Duration stuckFor(TimePoint now) const;

    // When it was last heard of, or answered.
    std::chrono::steady_clock::time_point activeAt() const { return activeAt_; }

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void onReceived() override;
    void onSendDrained() override;
    void onClosed() override { leave(); }

    void resetParser();
    void readNext();
    void beginRequest();
    bool takeBytes(error_code& ec);
    void awaitRest();
    void serve(const HttpRequest& message);
    void answerReadiness(const HttpRequest& message);
    void answerError(int status);
    bool staysOpen();
    void linger();
    std::shared_ptr<ClientSession> self() {
        return std::static_pointer_cast<ClientSession>(shared_from_this());
    }

    Owner& owner_;
    TimerQueue& timers_;
    const Clock& clock_;
    std::optional<Parser> parser_;
    ArrivalLog arrivals_;
    RequestId request_;  // in hand
    std::string output_;
    TimePoint acceptedAt_;
    TimePoint startedAt_{};   // when the request in hand began to come
    TimePoint begunAt_{};     // when it was turned to
    TimePoint answeredAt_{};  // when a response that had to wait was written
    std::chrono::steady_clock::time_point activeAt_ = std::chrono::steady_clock::now();
    std::uint64_t responses_ = 0;
    bool left_ = false;
    bool busy_ = false;       // a request waits for its answer
    bool lingering_ = false;  // sends no more, and waits for the client's end
    bool partial_ = false;    // a request is coming
    bool continued_ = false;  // and got 100 Continue
    bool keepAlive_ = true;
};

}  // namespace gateway::net
