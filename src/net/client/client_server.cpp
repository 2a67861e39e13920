#include "net/client/client_server.h"

#include <utility>
#include <vector>

namespace gateway::net {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr int kAcceptBacklog = 1024;
constexpr Duration kAcceptPause = milliseconds(50);  // when the process is out of descriptors or memory
constexpr Duration kSweepPeriod = milliseconds(250);
constexpr Duration kDrainSweepPeriod = milliseconds(50);
constexpr Duration kFirstRequestGrace = milliseconds(150);  // on a new connection, while it drains
constexpr Duration kMaxStuckTimeDraining = std::chrono::seconds(1);
constexpr int kRequestTimeout = 408;

}  // namespace

ClientServer::ClientServer(boost::asio::io_context& io, TimerQueue& timers, const Clock& clock,
                           RequestRules rules, const Limits& limits, Hooks hooks)
    : io_(io),
      timers_(timers),
      clock_(clock),
      rules_(std::move(rules)),
      limits_(limits),
      hooks_(std::move(hooks)),
      acceptor_(io) {}

void ClientServer::listen(const tcp::endpoint& address) {
    acceptor_.open(address.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));  // a restart comes back under its address
    acceptor_.bind(address);
    acceptor_.listen(kAcceptBacklog);
    acceptor_.non_blocking(true);
    listening_ = true;
    accept();
    timers_.after(kSweepPeriod, [this] { endStuckSessions(); });
}

void ClientServer::accept() {
    if (accepting_ || !listening_) return;
    // At the most connections the one idle the longest gives way; if all are busy the queue waits.
    if (sessions_.size() >= limits_.connections && !endIdleSession()) return;
    accepting_ = true;
    acceptor_.async_accept([this](const error_code& ec, tcp::socket socket) {
        accepting_ = false;
        if (!listening_) return;
        if (ec) {
            // Out of descriptors or memory: pauses, since the queue would report itself without end.
            endIdleSession();
            timers_.after(kAcceptPause, [this] { accept(); });
            return;
        }
        beginSession(std::move(socket));
        accept();
    });
}

void ClientServer::beginSession(tcp::socket&& socket) {
    const auto session = std::make_shared<ClientSession>(
        std::move(socket), static_cast<ClientSession::Owner&>(*this), timers_, clock_);
    session->position = sessions_.insert(sessions_.end(), session);
    session->start();
}

bool ClientServer::endIdleSession() {
    for (const SessionPtr& session : sessions_) {
        if (!session->isIdle() || session->hasInput()) continue;
        const SessionPtr held = session;  // leaving takes it out of the list
        held->leave();
        return true;
    }
    return false;
}

// What stands in the queue would take the descriptor at once: it is looked at again from the loop.
bool ClientServer::evictIdleClient() {
    const bool wasAccepting = std::exchange(accepting_, true);
    const bool evicted = endIdleSession();
    accepting_ = wasAccepting;
    if (!wasAccepting) timers_.after(Duration::zero(), [this] { accept(); });
    return evicted;
}

void ClientServer::answer(ClientSession& session, const ClientResponse& response) {
    session.answer(response);
    accept();  // it may have waited for a connection that is not busy
}

bool ClientServer::hasDisconnected(ClientSession& session) {
    if (!session.peerHasClosed()) return false;
    session.leave();
    return true;
}

// ---- What sessions report -------------------------------------------------------------------------

bool ClientServer::onRequest(ClientRequest&& request, const SessionPtr& session) {
    return hooks_.onRequest(std::move(request), session);
}

void ClientServer::onActive(ClientSession& session) {
    sessions_.splice(sessions_.end(), sessions_, session.position);
}

void ClientServer::onEnded(ClientSession& session) {
    sessions_.erase(session.position);
    if (listening_) accept();
    if (!listening_ && sessions_.empty()) reportIfDrained();
}

// ---- Sessions that hold a place for nothing -------------------------------------------------------

// Ends connections whose request does not come, or does not come whole, however slowly it dribbles in, or
// whose client takes no response: they would hold a descriptor for ever.
void ClientServer::endStuckSessions() {
    if (draining_) return;
    std::vector<SessionPtr> stuck;
    std::vector<SessionPtr> silent;
    const auto now = steady_clock::now();
    for (const SessionPtr& session : sessions_) {
        const Duration most = session->allWritten() ? limits_.maxPartialTime : limits_.maxUndeliveredTime;
        if (session->stuckFor(clock_.now()) > most) stuck.push_back(session);
        if (now - session->activeAt() > limits_.maxPartialTime && session->isSilent())
            silent.push_back(session);
    }
    for (const SessionPtr& session : silent) session->leave();
    for (const SessionPtr& session : stuck) {
        if (session->allWritten())
            session->answerAndClose(kRequestTimeout);
        else
            session->leave();
    }
    timers_.after(kSweepPeriod, [this] { endStuckSessions(); });
}

// ---- Shutdown -------------------------------------------------------------------------------------

// Idle connections end while new ones are still taken: a client whose request crosses such an end sends it
// once more, and finds somebody. All have ended, or carry a request, before what still comes might be killed
// with it.
void ClientServer::drain(std::function<void()> done) {
    if (draining_) return;
    draining_ = true;
    onDrained_ = std::move(done);
    timers_.after(limits_.idleGracePeriod, [this] { endIdleSessionsWhileDraining(); });
    timers_.after(limits_.listenAfterShutdown, [this] { stopListening(); });
}

// What stands in the queue has been taken by this machine: it would be lost with the listener.
void ClientServer::stopListening() {
    for (error_code ec; !ec;) {
        tcp::socket socket(io_);
        acceptor_.accept(socket, ec);
        if (!ec) beginSession(std::move(socket));
    }
    listening_ = false;
    error_code ec;
    acceptor_.close(ec);
}

// Closes connections that stand idle, but none on which a request may just be coming.
void ClientServer::endIdleSessionsWhileDraining() {
    const auto now = steady_clock::now();
    std::vector<SessionPtr> ended;
    for (const SessionPtr& session : sessions_) {
        const bool settled = !session->isFresh() || now - session->activeAt() > kFirstRequestGrace;
        if (session->isIdle() && settled && !session->hasInput()) ended.push_back(session);
        if (session->stuckFor(clock_.now()) > kMaxStuckTimeDraining) ended.push_back(session);
    }
    for (const SessionPtr& session : ended) session->leave();
    if (listening_ || !sessions_.empty())
        timers_.after(kDrainSweepPeriod, [this] { endIdleSessionsWhileDraining(); });
    else
        reportIfDrained();
}

void ClientServer::reportIfDrained() {
    if (draining_ && onDrained_) std::exchange(onDrained_, nullptr)();
}

}  // namespace gateway::net
