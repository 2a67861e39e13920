#include "net/upstream/upstream_connection.h"

#include <algorithm>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>
#include <string>
#include <utility>

#include "net/transport/http_limits.h"
#include "net/transport/response_framing.h"
#include "net/upstream/upstream_response.h"

namespace gateway::net {

namespace http = boost::beast::http;

namespace {

constexpr int kMaxInterimResponses = 8;  // 1xx responses before a final one
// Counted from the first bytes of a response. Ends responses that never complete: a header may not end, or
// may announce more bytes than arrive.
constexpr Duration kMaxResponseReceiveTime = std::chrono::milliseconds(200);
constexpr std::size_t kTypicalHeaderBytes = 320;

bool isInterim(const HttpResponse& message) {
    return message.result_int() < static_cast<unsigned>(http::status::ok);
}

}  // namespace

UpstreamConnection::UpstreamConnection(boost::asio::io_context& ioContext,
                                       UpstreamConnectionObserver& observer, TimerQueue& timers,
                                       std::shared_ptr<std::size_t> connectionCount,
                                       std::shared_ptr<MemoryBudget> memoryBudget)
    : TcpConnection(ioContext),
      observer_(observer),
      timers_(timers),
      connectionCount_(std::move(connectionCount)),
      memory_(std::move(memoryBudget)) {
    ++*connectionCount_;
}

UpstreamConnection::~UpstreamConnection() {
    --*connectionCount_;
}

void UpstreamConnection::assign(AttemptId attempt) {
    attempt_ = attempt;
    interimResponses_ = 0;
    expectResponse();
}

void UpstreamConnection::write(const ForwardedRequest& request, std::chrono::milliseconds timeout) {
    const auto timeoutMs = std::max<long long>(1, timeout.count());
    std::string text;
    text.reserve(kTypicalHeaderBytes + request.target.size() + request.body.size());
    text.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\nHost: ");
    text.append(request.host).append("\r\nRequest-Id: ").append(request.id);
    text.append("\r\nRequest-Timeout-Ms: ").append(std::to_string(timeoutMs));
    if (!request.idempotencyKey.empty()) text.append("\r\nIdempotency-Key: ").append(request.idempotencyKey);
    if (request.method != "GET")
        text.append("\r\nContent-Length: ").append(std::to_string(request.body.size()));
    text.append("\r\n\r\n").append(request.body);
    bytesWrittenBefore_ = bytesWritten();
    lastProgressAt_ = std::chrono::steady_clock::now();
    send(text);
    chargeMemory();
}

void UpstreamConnection::expectResponse() {
    ++responseNumber_;
    parser_.emplace();
    parser_->body_limit(kMaxBodyBytes);
    parser_->header_limit(kMaxHeaderBytes);
    parser_->eager(true);
}

void UpstreamConnection::onReceived() {
    if (attempt_ == AttemptId::none) {  // else they would be taken for the next response
        observer_.onUnexpectedInput(self());
        return;
    }
    if (bytesWritten() == bytesWrittenBefore_) {  // no byte of the request was written yet
        closeAsBroken(ResponseFault::malformed);
        return;
    }
    ParseProgress progress = ParseProgress::interim;
    while (progress == ParseProgress::interim && input().size() > 0) progress = parseInput();
    switch (progress) {
        case ParseProgress::incomplete:
            limitReceiveTime();
            chargeMemory();
            break;
        case ParseProgress::interim:  // the next response has not begun, so it has no limit yet
            break;
        case ParseProgress::complete:
            finishResponse();
            break;
        case ParseProgress::malformed:
            closeAsBroken(ResponseFault::malformed);
            break;
    }
}

// Parses input for the current response and consumes it. After an interim response, the next response becomes
// the current one.
UpstreamConnection::ParseProgress UpstreamConnection::parseInput() {
    error_code ec;
    const std::size_t used = parser_->put(input().data(), ec);
    input().consume(used);
    if (hasContentLengthOver(*parser_, kMaxBodyBytes)) return ParseProgress::malformed;
    if (hasTooManyFields(*parser_)) return ParseProgress::malformed;
    if (ec == http::error::need_more) return ParseProgress::incomplete;
    if (ec || hasUnknownTransferCoding(*parser_)) return ParseProgress::malformed;
    if (!parser_->is_done()) return ParseProgress::incomplete;
    if (!isInterim(parser_->get())) return ParseProgress::complete;
    ++interimResponses_;
    if (interimResponses_ > kMaxInterimResponses) return ParseProgress::malformed;
    expectResponse();
    return ParseProgress::interim;
}

void UpstreamConnection::onEndOfStream() {
    responseFault_ = ResponseFault::closedEarly;
    if (parser_ && completeAtEndOfStream(*parser_)) finishResponse();
}

void UpstreamConnection::limitReceiveTime() {
    if (timeLimitedResponseNumber_ == responseNumber_) return;
    timeLimitedResponseNumber_ = responseNumber_;
    lastProgressAt_ = std::chrono::steady_clock::now();
    timers_.schedule(kMaxResponseReceiveTime, [weak = weak_from_this(), number = responseNumber_] {
        const auto connection = std::static_pointer_cast<UpstreamConnection>(weak.lock());
        if (connection && connection->isOpen() && connection->responseNumber_ == number)
            connection->closeAsBroken(ResponseFault::tooSlow);
    });
}

void UpstreamConnection::finishResponse() {
    AttemptResult result = readAttemptResult(parser_->get());
    ++responseNumber_;
    const bool isReusable = parser_->keep_alive() && input().size() == 0 && isFlushed();
    parser_.reset();
    memory_.set(0);
    const AttemptId attempt = std::exchange(attempt_, AttemptId::none);
    observer_.onResponse(attempt, std::move(result), isReusable);
    if (!isReusable) close();
}

// Called last by the handlers, since it may close this connection.
void UpstreamConnection::chargeMemory() {
    const std::size_t before = memory_.bytes();
    const std::size_t responseBytes = parser_ ? parsedMessageBytes(*parser_) : 0;
    memory_.set(chargeableBytes(bufferCapacity() + responseBytes));
    if (memory_.bytes() > before) observer_.onMemoryExceeded();
}

void UpstreamConnection::closeAsBroken(ResponseFault fault) {
    responseFault_ = fault;
    close();
    memory_.set(0);
    observer_.onBroken(self());
}

}  // namespace gateway::net
