#include "net/client/client_session.h"

#include <utility>

namespace gateway::net {

namespace http = boost::beast::http;
using std::chrono::steady_clock;

namespace {

constexpr std::size_t kMaxPipelinedBytes = 96UL * 1024;    // that are kept while a request is in flight
constexpr Duration kLingerTime = std::chrono::seconds(1);  // for the client to receive the last response
constexpr std::string_view kReadinessTarget = "/-/ready";

}  // namespace

ClientSession::ClientSession(tcp::socket&& socket, ClientSessionObserver& observer, TimerQueue& timers,
                             const Clock& clock)
    : TcpConnection(std::move(socket)),
      observer_(observer),
      timers_(timers),
      clock_(clock),
      acceptedAt_(clock.now()) {}

Duration ClientSession::stalledFor(TimePoint now) const {
    if (isBusy_ || isLingering_) return {};
    if (!isFlushed()) return now - blockedAt_;
    if (!reader_.isPartial()) return {};
    return now - (isBeforeFirstResponse() ? acceptedAt_ : reader_.readingStartedAt());
}

// ---- Responses ------------------------------------------------------------------------------------

void ClientSession::answer(const ClientResponse& response) {
    isBusy_ = false;
    ++responses_;
    const bool staysOpen = shouldStayOpen();
    output_.clear();
    appendResponse(output_, response, staysOpen);
    send(output_);
    lastActiveAt_ = steady_clock::now();
    if (!isFlushed()) blockedAt_ = clock_.now();
    if (!staysOpen) {
        linger();
        return;
    }
    if (input().size() == 0) return;
    // The next request is already in the input. Reads it from the event loop to avoid recursion.
    timers_.schedule(Duration::zero(), [weak = weak_from_this()] {
        if (const auto session = weak.lock()) static_cast<ClientSession&>(*session).readNext();
    });
}

// The connection stays open while it has unread requests, even if the gateway is draining, because closing it
// would lose them.
bool ClientSession::shouldStayOpen() {
    if (!keepAlive_) return false;
    if (input().size() > 0) return true;
    if (isDiscardingInput()) return false;
    return !observer_.isDraining() || hasInput();
}

void ClientSession::answerAndClose(http::status status) {
    keepAlive_ = false;
    answer(plainResponse(status));
}

void ClientSession::answerInvalid(http::status status) {
    if (status == http::status::bad_request) keepAlive_ = false;
    answer(plainResponse(status));
}

// Shuts down the sending side only and waits for the client to close the connection. A full close could cause
// a reset that destroys the last response before the client reads it.
void ClientSession::linger() {
    isLingering_ = true;
    if (isFlushed()) shutdownSend();
    discardInput();
    timers_.schedule(kLingerTime, [weak = weak_from_this()] {
        const auto session = weak.lock();
        if (session && session->isOpen()) static_cast<ClientSession&>(*session).end();
    });
}

void ClientSession::onOutputWritten() {
    if (isLingering_)
        shutdownSend();
    else
        observer_.onResponseWritten();
}

void ClientSession::end() {
    if (hasEnded_) return;
    hasEnded_ = true;
    if (isBusy_) observer_.onDisconnect(request_);
    isBusy_ = false;
    close();
    observer_.onEnded(*this);
}

// ---- Requests -------------------------------------------------------------------------------------

void ClientSession::onReceived() {
    lastActiveAt_ = steady_clock::now();
    reader_.recordReceived(input().size(), clock_.now());
    if (!isBusy_) {
        readNext();
        return;
    }
    // Drops further bytes instead of leaving them unread, so that the client's close is still noticed.
    if (input().size() > kMaxPipelinedBytes) discardFurtherInput();
}

void ClientSession::readNext() {
    if (!isOpen() || isBusy_ || isLingering_) return;
    observer_.onActive(*this);
    if (input().size() == 0) return;
    switch (reader_.read(input(), clock_.now())) {
        case ClientRequestReader::Progress::incomplete:
            handleIncompleteRequest();
            break;
        case ClientRequestReader::Progress::rejected:
            answerAndClose(reader_.rejectionStatus());
            break;
        case ClientRequestReader::Progress::complete: {
            const HttpRequest message = reader_.takeRequest();
            keepAlive_ = message.keep_alive();
            hasSentContinue_ = false;
            isBusy_ = true;
            serve(message);
            break;
        }
    }
}

void ClientSession::handleIncompleteRequest() {
    if (isDiscardingInput()) {  // the rest of the request was dropped, so it can't be completed
        linger();
        return;
    }
    if (hasSentContinue_ || !reader_.expectsContinue()) return;
    hasSentContinue_ = true;
    send("HTTP/1.1 100 Continue\r\n\r\n");
}

void ClientSession::serve(const HttpRequest& message) {
    const auto target = message.target();
    if (std::string_view(target.data(), target.size()) == kReadinessTarget) {
        answerReadiness(message);
        return;
    }
    auto parsed = parseClientRequest(message, observer_.rules(), reader_.receivedAt());
    if (const auto* error = std::get_if<RequestError>(&parsed)) {
        answerInvalid(error->status);
        return;
    }
    auto& request = std::get<ClientRequest>(parsed);
    request_ = request.arrival.request;
    const bool started = observer_.startRequest(std::move(request), self());
    if (!started) answerInvalid(http::status::bad_request);
}

void ClientSession::answerReadiness(const HttpRequest& message) {
    if (message.method() != http::verb::get) {
        answerInvalid(http::status::method_not_allowed);
        return;
    }
    if (observer_.isReady() && !observer_.isDraining())
        answer({http::status::ok, {}, "text/plain", "ready\n"});
    else
        answer({http::status::service_unavailable, {}, "text/plain", "not ready\n"});
}

}  // namespace gateway::net
