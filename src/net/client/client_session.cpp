#include "net/client/client_session.h"

#include <utility>

namespace gateway::net {

namespace http = boost::beast::http;
using std::chrono::steady_clock;

namespace {

constexpr std::size_t kMaxPipelinedBytes = 4UL * 1024;  // that are received while a request is in flight
constexpr Duration kDisconnectPollInterval =
    std::chrono::milliseconds(50);                         // while input is left in the kernel
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

Duration ClientSession::stalledFor(TimePoint now) const {
    if (isBusy_ || isLingering_) return {};
    if (!isFlushed()) return now - blockedAt_;
    if (!reader_.isPartial()) return {};
    return now - (isBeforeFirstResponse() ? acceptedAt_ : reader_.readingStartedAt());
}

bool ClientSession::isSendingSlowly(Duration maxSilence, Duration maxTime) const {
    const Duration time = stalledFor(clock_.now());
    if (!reader_.isPartial() || !isFlushed()) return false;
    return time > maxTime || (time > maxSilence && clock_.now() - lastReceivedAt_ > maxSilence);
}

bool ClientSession::isOverloadedFor(Duration time) const {
    if (isClosing_ || isLingering_) return false;
    const bool hasUnreadRequests =
        isReadingPaused() && clock_.now() - unreadSince_.value_or(clock_.now()) > time;
    const bool sendsInvalidRequests = hasUnreadRequests && !isLatestRequestValid_;
    return sendsInvalidRequests || (!isFlushed() && stalledFor(clock_.now()) > time);
}

void ClientSession::closeAfterReadRequests() {
    if (!isFlushed()) {
        end();
        return;
    }
    isClosing_ = true;
    pauseReading();
    awaitDisconnect();
}

bool ClientSession::hasLingeredFor(Duration time) const {
    return isLingering_ && isFlushed() && steady_clock::now() - lastActiveAt_ >= time;
}

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

// Leaves further bytes in the kernel, so that the client can't fill this process's memory.
void ClientSession::limitPipelinedInput() {
    if (input().size() < kMaxPipelinedBytes) return;
    pauseReading();
    if (!unreadSince_) unreadSince_ = lastReceivedAt_;
    awaitDisconnect();
}

// While reading is paused, the event loop does not report that the client has closed the connection.
void ClientSession::awaitDisconnect() {
    if (isAwaitingDisconnect_) return;
    isAwaitingDisconnect_ = true;
    timers_.schedule(kDisconnectPollInterval, [weak = weak_from_this()] {
        const auto connection = weak.lock();
        if (!connection || !connection->isOpen()) return;
        auto& session = static_cast<ClientSession&>(*connection);
        session.isAwaitingDisconnect_ = false;
        if (!session.isReadingPaused()) return;
        if (session.hasPeerClosed())
            session.end();
        else
            session.awaitDisconnect();
    });
}

// Charges what the session holds, and lets the observer shed load if that is too much.
void ClientSession::chargeMemory() {
    if (hasEnded_) return;
    const std::size_t before = memory_.bytes();
    memory_.set(chargeableBytes(bufferCapacity() + reader_.heldBytes()));
    if (memory_.bytes() > before) observer_.isMemoryExhausted();
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
