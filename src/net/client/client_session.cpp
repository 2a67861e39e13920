#include "net/client/client_session.h"

#include <utility>

#include "net/transport/http_limits.h"

namespace gateway::net {

namespace http = boost::beast::http;
using std::chrono::steady_clock;

namespace {

constexpr std::size_t kMaxPipelinedBytes = 96UL * 1024;    // kept while an answer is awaited
constexpr Duration kLingerTime = std::chrono::seconds(1);  // for a client to take in a last response
constexpr std::string_view kReadinessTarget = "/-/ready";

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kMethodNotAllowed = 405;
constexpr int kPayloadTooLarge = 413;
constexpr int kHeadersTooLarge = 431;
constexpr int kUnavailable = 503;

}  // namespace

ClientSession::ClientSession(tcp::socket&& socket, Owner& owner, TimerQueue& timers, const Clock& clock)
    : TcpConnection(std::move(socket)),
      owner_(owner),
      timers_(timers),
      clock_(clock),
      acceptedAt_(clock.now()) {
    resetParser();
}

Duration ClientSession::stuckFor(TimePoint now) const {
    if (busy_ || lingering_) return {};
    if (!allWritten()) return now - answeredAt_;
    return partial_ ? now - (isFresh() ? acceptedAt_ : begunAt_) : Duration{};
}

// ---- Responses ------------------------------------------------------------------------------------

void ClientSession::answer(const ClientResponse& response) {
    busy_ = false;
    ++responses_;
    const bool stays = staysOpen();
    output_.clear();
    appendResponse(output_, response, stays);
    send(output_);
    activeAt_ = steady_clock::now();
    if (!allWritten()) answeredAt_ = clock_.now();
    if (!stays) return linger();
    if (input().size() > 0) {  // the next one came early; not from within the answer to this one
        timers_.after(Duration::zero(), [weak = weak_from_this()] {
            if (const auto session = weak.lock()) static_cast<ClientSession&>(*session).readNext();
        });
    }
}

// What has come by now is answered first, also while it drains: it would be lost with the connection.
bool ClientSession::staysOpen() {
    if (!keepAlive_) return false;
    if (input().size() > 0) return true;
    if (dropsInput()) return false;
    return !owner_.isDraining() || hasInput();
}

void ClientSession::answerAndClose(int status) {
    keepAlive_ = false;
    answer(plainResponse(status));
}

void ClientSession::answerError(int status) {
    if (status == kBadRequest) keepAlive_ = false;
    answer(plainResponse(status));
}

// Sends no more and waits for the client's end, so that no reset overtakes the last response.
void ClientSession::linger() {
    lingering_ = true;
    if (allWritten()) shutdownSend();
    discardInput();
    timers_.after(kLingerTime, [weak = weak_from_this()] {
        const auto session = weak.lock();
        if (session && session->isOpen()) static_cast<ClientSession&>(*session).leave();
    });
}

void ClientSession::onSendDrained() {
    if (lingering_) shutdownSend();
}

void ClientSession::leave() {
    if (std::exchange(left_, true)) return;  // making room for another may have ended it meanwhile
    if (busy_) owner_.onDisconnect(request_);
    busy_ = false;
    close();
    owner_.onEnded(*this);
}

// ---- Requests -------------------------------------------------------------------------------------

void ClientSession::resetParser() {
    parser_.emplace();
    parser_->body_limit(kMaxBodyBytes);
    parser_->header_limit(kMaxHeaderBytes);
    parser_->eager(true);
    partial_ = false;
    continued_ = false;
}

void ClientSession::onReceived() {
    activeAt_ = steady_clock::now();
    arrivals_.noteArrival(input().size(), clock_.now());
    if (!busy_) return readNext();
    // Read on to notice that the client leaves. What it has sent ahead so far will be answered, no more.
    if (input().size() > kMaxPipelinedBytes) dropFurtherInput();
}

void ClientSession::readNext() {
    if (!isOpen() || busy_ || lingering_) return;
    owner_.onActive(*this);
    if (input().size() == 0) return;
    if (!partial_) beginRequest();
    error_code ec;
    if (!takeBytes(ec)) return;
    if (ec == http::error::need_more) return awaitRest();
    if (ec == http::error::body_limit) return answerAndClose(kPayloadTooLarge);
    if (ec == http::error::header_limit || ec == http::error::buffer_overflow)
        return answerAndClose(kHeadersTooLarge);
    if (ec) return answerAndClose(kBadRequest);
    if (!parser_->is_done()) {
        if (dropsInput()) linger();  // its rest was dropped
        return;
    }
    const HttpRequest message = parser_->release();
    keepAlive_ = message.keep_alive();
    resetParser();
    busy_ = true;
    serve(message);
}

void ClientSession::beginRequest() {
    startedAt_ = arrivals_.arrivalOfNext();
    begunAt_ = clock_.now();
    partial_ = true;
}

// False where the request was answered as one that can't be read.
bool ClientSession::takeBytes(error_code& ec) {
    const std::size_t used = parser_->put(input().data(), ec);
    arrivals_.consume(used);
    input().consume(used);
    if (announcesBodyOver(*parser_, kMaxBodyBytes)) {
        answerAndClose(kPayloadTooLarge);
        return false;
    }
    if (parser_->is_header_done() && hasAmbiguousLength(parser_->get())) {
        answerAndClose(kBadRequest);
        return false;
    }
    return true;
}

void ClientSession::awaitRest() {
    if (dropsInput()) return linger();  // its rest was dropped
    if (!parser_->is_header_done() || continued_) return;
    if (!boost::beast::iequals(parser_->get()[http::field::expect], "100-continue")) return;
    continued_ = true;
    send("HTTP/1.1 100 Continue\r\n\r\n");
}

void ClientSession::serve(const HttpRequest& message) {
    const auto target = message.target();
    if (std::string_view(target.data(), target.size()) == kReadinessTarget) return answerReadiness(message);
    auto parsed = parseClientRequest(message, owner_.rules(), startedAt_);
    if (const auto* error = std::get_if<RequestError>(&parsed)) return answerError(error->status);
    auto& request = std::get<ClientRequest>(parsed);
    request_ = request.arrival.request;
    if (!owner_.onRequest(std::move(request), self())) answerError(kBadRequest);
}

void ClientSession::answerReadiness(const HttpRequest& message) {
    if (message.method() != http::verb::get) return answerError(kMethodNotAllowed);
    const bool ready = owner_.isReady() && !owner_.isDraining();
    answer({ready ? kOk : kUnavailable, {}, "text/plain", ready ? "ready\n" : "not ready\n"});
}

}  // namespace gateway::net
