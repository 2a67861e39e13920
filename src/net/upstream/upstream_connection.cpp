#include "net/upstream/upstream_connection.h"

#include <algorithm>
#include <string>
#include <utility>

#include "net/transport/http_limits.h"
#include "net/upstream/upstream_response.h"

namespace gateway::net {

namespace http = boost::beast::http;

namespace {

constexpr int kMaxInterimResponses = 8;  // 1xx responses ahead of one
constexpr unsigned kFirstFinalStatus = 200;
// A response that has begun is whole by then, or it is spoilt: its head does not end, or announces more than
// comes.
constexpr Duration kMaxResponseTime = std::chrono::milliseconds(200);
constexpr std::size_t kUsualHeadBytes = 320;

}  // namespace

UpstreamConnection::UpstreamConnection(boost::asio::io_context& io, Owner& owner, TimerQueue& timers,
                                       std::shared_ptr<std::size_t> openConnections)
    : TcpConnection(io), owner_(owner), timers_(timers), openConnections_(std::move(openConnections)) {
    ++*openConnections_;
}

UpstreamConnection::~UpstreamConnection() {
    --*openConnections_;
}

void UpstreamConnection::assign(AttemptId attempt) {
    attempt_ = attempt;
    interimResponses_ = 0;
    beginResponse();
}

void UpstreamConnection::write(const ForwardedRequest& request, std::chrono::milliseconds timeout) {
    const auto milliseconds = std::max<long long>(1, timeout.count());
    std::string text;
    text.reserve(kUsualHeadBytes + request.target.size() + request.body.size());
    text.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\nHost: ");
    text.append(request.host).append("\r\nRequest-Id: ").append(request.id);
    text.append("\r\nRequest-Timeout-Ms: ").append(std::to_string(milliseconds));
    if (!request.idempotencyKey.empty()) text.append("\r\nIdempotency-Key: ").append(request.idempotencyKey);
    if (request.method != "GET")
        text.append("\r\nContent-Length: ").append(std::to_string(request.body.size()));
    text.append("\r\n\r\n").append(request.body);
    writtenBefore_ = written();
    send(text);
}

void UpstreamConnection::beginResponse() {
    ++response_;
    parser_.emplace();
    parser_->body_limit(kMaxBodyBytes);
    parser_->header_limit(kMaxHeaderBytes);
    parser_->eager(true);
}

void UpstreamConnection::onReceived() {
    // Bytes that nobody asked for would be taken for the next request's response.
    if (attempt_ == AttemptId::none) return owner_.onUnexpectedInput(self());
    if (written() == writtenBefore_) return breakOff();  // nor can they answer what is not written yet
    while (input().size() > 0) {
        error_code ec;
        const std::size_t used = parser_->put(input().data(), ec);
        input().consume(used);
        if (announcesBodyOver(*parser_, kMaxBodyBytes)) return breakOff();
        if (ec == http::error::need_more) return awaitRest();
        // Malformed, or of unknown length: a response that ends with the connection may have been cut short.
        if (ec || parser_->need_eof()) return breakOff();
        if (!parser_->is_done()) return awaitRest();
        if (parser_->get().result_int() >= kFirstFinalStatus) return finishResponse();
        // An interim response; the real one follows, in its own time.
        if (++interimResponses_ > kMaxInterimResponses) return breakOff();
        beginResponse();
    }
}

void UpstreamConnection::awaitRest() {
    if (std::exchange(limitedResponse_, response_) == response_) return;
    timers_.after(kMaxResponseTime, [weak = weak_from_this(), response = response_] {
        const auto connection = std::static_pointer_cast<UpstreamConnection>(weak.lock());
        if (connection && connection->isOpen() && connection->response_ == response) connection->breakOff();
    });
}

void UpstreamConnection::finishResponse() {
    AttemptResult result = readAttemptResult(parser_->get());
    ++response_;
    const bool reusable = parser_->keep_alive() && input().size() == 0 && allWritten();
    parser_.reset();
    owner_.onResponse(std::exchange(attempt_, AttemptId::none), std::move(result), reusable);
    if (!reusable) close();
}

void UpstreamConnection::breakOff() {
    close();
    owner_.onBroken(self());
}

}  // namespace gateway::net
