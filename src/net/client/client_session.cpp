#include "net/client/client_session.h"

#include <utility>

namespace gateway::net {

namespace http = boost::beast::http;
using std::chrono::steady_clock;

namespace {

constexpr Duration kLingerTime = std::chrono::seconds(1);  // for the client to receive the last response
constexpr std::string_view kReadinessTarget = "/-/ready";

}  // namespace

ClientSession::ClientSession(tcp::socket&& socket, ClientSessionObserver& observer, TimerQueue& timers,
                             const Clock& clock, const std::shared_ptr<MemoryBudget>& memoryBudget)
    : TcpConnection(std::move(socket)),
      observer_(observer),
      timers_(timers),
      clock_(clock),
      memoryBudget_(memoryBudget),
      memory_(memoryBudget),
      acceptedAt_(clock.now()) {}

// ---- Responses ------------------------------------------------------------------------------------

void ClientSession::answer(const ClientResponse& response) {
    isBusy_ = false;
    ++responses_;
    const bool staysOpen = shouldStayOpen();
    appendResponse(output(), response, staysOpen);
    flush();
    lastActiveAt_ = steady_clock::now();
    if (!isFlushed()) blockedAt_ = clock_.now();
    if (!staysOpen)
        linger();
    else if (isFlushed())
        scheduleReadNext();
    chargeMemory();
}

// Reads from the event loop to avoid recursion.
void ClientSession::scheduleReadNext() {
    if (input().size() == 0) {
        resumeReading();
        return;
    }
    isReadScheduled_ = true;
    timers_.schedule(Duration::zero(), [weak = weak_from_this()] {
        const auto connection = weak.lock();
        if (!connection) return;
        auto& session = static_cast<ClientSession&>(*connection);
        session.isReadScheduled_ = false;
        session.readNext();
    });
}

// The connection stays open while it has unread requests, even if the gateway is draining, because closing it
// would lose them.
bool ClientSession::shouldStayOpen() {
    if (!keepAlive_ || observer_.isDrainOverdue()) return false;
    if (input().size() > 0) return true;
    if (isClosing_) return false;
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
    reader_.discard();
    discardInput();
    lingerTimer_ = timers_.schedule(kLingerTime, [weak = weak_from_this()] {
        const auto session = weak.lock();
        if (session && session->isOpen()) static_cast<ClientSession&>(*session).end();
    });
}

void ClientSession::onOutputWritten() {
    chargeMemory();
    if (isLingering_) {
        lastActiveAt_ = steady_clock::now();
        shutdownSend();
        return;
    }
    scheduleReadNext();
    observer_.onResponseWritten();
}

void ClientSession::end() {
    if (hasEnded_) return;
    hasEnded_ = true;
    if (isBusy_) observer_.onDisconnect(request_);
    isBusy_ = false;
    close();
    memory_.set(0);
    timers_.cancel(lingerTimer_);  // else the timer would keep the session's memory
    observer_.onEnded(*this);
}

// ---- Requests -------------------------------------------------------------------------------------

void ClientSession::onReceived() {
    lastActiveAt_ = steady_clock::now();
    lastReceivedAt_ = clock_.now();
    reader_.recordReceived(input().size(), unreadSince_.value_or(lastReceivedAt_));
    if (hasDrainedKernel()) unreadSince_.reset();
    if (isWaitingToRead())
        limitPipelinedInput();
    else
        readNext();
    chargeMemory();
}

void ClientSession::readNext() {
    if (!isOpen() || isLingering_ || isWaitingToRead()) return;
    observer_.onActive(*this);
    if (input().size() == 0) {
        resumeReading();
        return;
    }
    switch (reader_.read(input(), clock_.now())) {
        case ClientRequestReader::Progress::incomplete:
            handleIncompleteRequest();
            break;
        case ClientRequestReader::Progress::rejected:
            answerAndClose(reader_.rejectionStatus());
            break;
        case ClientRequestReader::Progress::complete: {
            HttpRequest message = reader_.takeRequest();
            keepAlive_ = message.keep_alive();
            hasSentContinue_ = false;
            isBusy_ = true;
            releaseUnusedInput();
            serve(std::move(message));
            break;
        }
    }
    if (input().size() < kMaxPipelinedBytes && !isClosing_) resumeReading();
    chargeMemory();
}

void ClientSession::handleIncompleteRequest() {
    if (isClosing_) {
        linger();
        return;
    }
    resumeReading();
    if (hasSentContinue_ || !reader_.expectsContinue()) return;
    hasSentContinue_ = true;
    send("HTTP/1.1 100 Continue\r\n\r\n");
}

void ClientSession::serve(HttpRequest&& message) {
    isLatestRequestValid_ = false;
    const auto target = message.target();
    if (std::string_view(target.data(), target.size()) == kReadinessTarget) {
        answerReadiness(message);
        return;
    }
    if (lastReceivedAt_ > observer_.lastRequestAt()) {
        answer(plainResponse(http::status::service_unavailable));
        return;
    }
    auto parsed = parseClientRequest(std::move(message), observer_.rules(), reader_.receivedAt());
    if (const auto* error = std::get_if<RequestError>(&parsed))
        answerInvalid(error->status);
    else
        startRequest(std::move(std::get<ClientRequest>(parsed)));
}

// Rejects a request that takes memory from the budget if the budget is exceeded although other sessions were
// ended.
void ClientSession::startRequest(ClientRequest&& request) {
    isLatestRequestValid_ = true;
    request.forwarded->memory = MemoryCharge(memoryBudget_);
    request.forwarded->memory.set(chargeableBytes(request.forwarded->sizeInMemory()));
    memory_.set(chargeableBytes(bufferCapacity()));
    if (request.forwarded->memory.bytes() > 0 && observer_.isMemoryExhausted()) {
        answer(plainResponse(http::status::service_unavailable));
        return;
    }
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
