#include "net/client/client_server.h"

#include <algorithm>
#include <boost/asio/error.hpp>
#include <utility>
#include <vector>

namespace gateway::net {

namespace http = boost::beast::http;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr int kAcceptBacklog = 1024;
constexpr Duration kMinAcceptPause = milliseconds(1);  // after a failed accept; doubles with each further one
constexpr Duration kMaxAcceptPause = milliseconds(50);
constexpr int kMaxAcceptFailuresAtEnd = 16;  // in a row, before clients in the backlog are given up
constexpr Duration kSweepPeriod = milliseconds(250);
constexpr Duration kDrainSweepPeriod = milliseconds(50);
constexpr Duration kFirstRequestGrace = milliseconds(150);  // for a new connection, while draining
constexpr Duration kMaxStallTimeWhileDraining = std::chrono::seconds(1);

}  // namespace

ClientServer::ClientServer(boost::asio::io_context& ioContext, TimerQueue& timers, const Clock& clock,
                           RequestRules rules, const Limits& limits, Hooks hooks)
    : ioContext_(ioContext),
      timers_(timers),
      clock_(clock),
      rules_(std::move(rules)),
      limits_(limits),
      hooks_(std::move(hooks)),
      acceptor_(ioContext),
      memoryBudget_(std::make_shared<MemoryBudget>(limits.messageBytes)),
      shedLog_(timers) {}

// ---- Accepting ------------------------------------------------------------------------------------

void ClientServer::listen(const tcp::endpoint& address) {
    acceptor_.open(address.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));  // for a restart with the same address
    acceptor_.bind(address);
    acceptor_.listen(kAcceptBacklog);
    acceptor_.non_blocking(true);
    // Without this option Asio waits within accept() after a connection that was aborted in the backlog.
    acceptor_.set_option(boost::asio::socket_base::enable_connection_aborted(true));
    isListening_ = true;
    awaitClient();
    timers_.schedule(kSweepPeriod, [this] { endStalledSessions(); });
}

// Waits until a client is in the listener's backlog, and accepts it in the handler. An asynchronous accept
// would take it from the backlog some time before its handler runs, when the listener may have been closed.
void ClientServer::awaitClient() {
    if (isAwaitingClient_ || !isListening_) return;
    isAwaitingClient_ = true;
    acceptor_.async_wait(tcp::acceptor::wait_read, [this](const error_code& ec) {
        isAwaitingClient_ = false;
        if (!ec && isListening_) acceptClient();
    });
}

void ClientServer::acceptClient() {
    if (!makeRoom()) return;
    tcp::socket socket(ioContext_);
    error_code ec;
    acceptor_.accept(socket, ec);
    if (ec && ec != boost::asio::error::would_block) {
        handleAcceptFailure(ec);
        return;
    }
    if (!ec) {
        acceptPause_ = Duration::zero();
        startSession(std::move(socket));
    }
    awaitClient();
}

// Most failures concern one client or a moment. Without the pauses, a client in the backlog would cause a
// busy loop of failing accepts.
void ClientServer::handleAcceptFailure(const error_code& ec) {
    const bool hasFailedBefore = acceptPause_ > Duration::zero();
    const bool hasFreedDescriptor = hasFailedBefore && isDescriptorShortage(ec) && endIdleSession();
    if (hasFreedDescriptor || !hasFailedBefore || ec == boost::asio::error::connection_aborted)
        awaitClient();
    else
        retryAccept(acceptPause_);
    acceptPause_ = std::clamp(acceptPause_ * 2, kMinAcceptPause, kMaxAcceptPause);
}

// Returns whether another session may be started. If none may, clients wait in the listener's backlog until a
// session ends or becomes idle, or a silent new connection is past its grace period.
bool ClientServer::makeRoom() {
    if (sessions_.size() < limits_.connections) return true;
    if (endIdleSession()) return true;
    shedSlowRequests();
    if (sessions_.size() < limits_.connections) return true;
    retryAccept(limits_.newConnectionGrace);
    return false;
}

void ClientServer::retryAccept(Duration delay) {
    if (isRetryScheduled_) return;
    isRetryScheduled_ = true;
    timers_.schedule(delay, [this] {
        isRetryScheduled_ = false;
        awaitClient();
    });
}

void ClientServer::startSession(tcp::socket&& socket) {
    const auto session = std::make_shared<ClientSession>(
        std::move(socket), static_cast<ClientSessionObserver&>(*this), timers_, clock_, memoryBudget_);
    session->setPosition(sessions_.insert(sessions_.end(), session));
    session->start();
}

// Ends the idle session that was active longest ago, but no new connection within its grace period. Returns
// false if there is none.
bool ClientServer::endIdleSession() {
    const auto now = steady_clock::now();
    for (const SessionPtr& session : sessions_) {
        if (!session->isIdle() || session->hasInput()) continue;
        const bool isNew =
            session->isBeforeFirstResponse() && now - session->lastActiveAt() <= limits_.newConnectionGrace;
        if (isNew) continue;
        const SessionPtr ended = session;  // keeps the session alive, since end() removes it from the list
        ended->end();
        return true;
    }
    return false;
}

// The next client is accepted from the event loop, so it can't take the descriptor before the caller does.
bool ClientServer::evictIdleClient() {
    return endIdleSession();
}

// ---- Sessions -------------------------------------------------------------------------------------

void ClientServer::answer(ClientSession& session, const ClientResponse& response) {
    session.answer(response);
    awaitClient();  // an earlier client may wait in the backlog because no session was idle
}

bool ClientServer::endIfDisconnected(ClientSession& session) {
    if (!session.hasPeerClosed()) return false;
    session.end();
    return true;
}

bool ClientServer::startRequest(ClientRequest&& request, const SessionPtr& session) {
    return hooks_.startRequest(std::move(request), session);
}

void ClientServer::onActive(ClientSession& session) {
    sessions_.splice(sessions_.end(), sessions_, session.position());
}

// The session may be idle now, so that it can be ended for a client that waits in the backlog.
void ClientServer::onResponseWritten() {
    awaitClient();
}

void ClientServer::onEnded(ClientSession& session) {
    sessions_.erase(session.position());
    if (isListening_)
        awaitClient();
    else if (sessions_.empty())
        reportDrained();
}

// Ends the sessions of clients that do not send a request, do not complete one or do not receive a response
// in time. Otherwise each such client would hold a descriptor forever.
void ClientServer::endStalledSessions() {
    if (isDraining_) return;
    std::vector<SessionPtr> stalled;
    std::vector<SessionPtr> unused;
    const auto now = steady_clock::now();
    for (const SessionPtr& session : sessions_) {
        const Duration maxTime =
            session->isFlushed() ? limits_.requestReadTimeout : limits_.responseWriteTimeout;
        if (session->stalledFor(clock_.now()) > maxTime) stalled.push_back(session);
        if (now - session->lastActiveAt() > limits_.requestReadTimeout && session->isUnused())
            unused.push_back(session);
    }
    for (const SessionPtr& session : unused) session->end();
    for (const SessionPtr& session : stalled) {
        if (session->isFlushed())
            session->answerAndClose(http::status::request_timeout);
        else
            session->end();
    }
    timers_.schedule(kSweepPeriod, [this] { endStalledSessions(); });
}

// ---- Shutdown -------------------------------------------------------------------------------------

// Closes idle connections while the listener is still open. A client that sends a request while its
// connection is being closed can send the request again on a new connection.
void ClientServer::drain(std::function<void()> done) {
    if (isDraining_) return;
    isDraining_ = true;
    lastRequestAt_ = clock_.now() + limits_.listenGracePeriod + kFirstRequestGrace;
    drainDeadline_ = lastRequestAt_ + maxRequestTime(rules_);
    onDrained_ = std::move(done);
    timers_.schedule(limits_.idleGracePeriod, [this] { endIdleSessionsWhileDraining(); });
    timers_.schedule(limits_.listenGracePeriod, [this] { stopListening(); });
}

// Accepts the connections in the listener's backlog first, because closing the listener would reset them.
void ClientServer::stopListening() {
    int failures = 0;
    while (failures < kMaxAcceptFailuresAtEnd) {
        tcp::socket socket(ioContext_);
        error_code ec;
        acceptor_.accept(socket, ec);
        if (ec == boost::asio::error::would_block) break;
        if (ec) {
            ++failures;
            if (failures > 1 && isDescriptorShortage(ec)) endIdleSession();
            continue;
        }
        failures = 0;
        startSession(std::move(socket));
    }
    isListening_ = false;
    error_code ec;
    acceptor_.close(ec);
}

// Keeps new connections open for kFirstRequestGrace, because their first request may be in transit.
void ClientServer::endIdleSessionsWhileDraining() {
    const auto now = steady_clock::now();
    std::vector<SessionPtr> ended;
    for (const SessionPtr& session : sessions_) {
        const bool isNew =
            session->isBeforeFirstResponse() && now - session->lastActiveAt() <= kFirstRequestGrace;
        if (session->isIdle() && !isNew && !session->hasInput()) ended.push_back(session);
        if (session->stalledFor(clock_.now()) > kMaxStallTimeWhileDraining) ended.push_back(session);
    }
    for (const SessionPtr& session : ended) session->end();
    if (isListening_ || !sessions_.empty())
        timers_.schedule(kDrainSweepPeriod, [this] { endIdleSessionsWhileDraining(); });
    else
        reportDrained();
}

void ClientServer::reportDrained() {
    if (!isDraining_ || !onDrained_) return;
    const std::function<void()> report = std::exchange(onDrained_, nullptr);
    report();
}

}  // namespace gateway::net
