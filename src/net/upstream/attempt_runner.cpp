#include "net/upstream/attempt_runner.h"

#include <chrono>
#include <utility>

namespace gateway::net {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

AttemptRunner::AttemptRunner(boost::asio::io_context& ioContext, TimerQueue& timers,
                             IdleConnectionPool& idleConnections, const Limits& limits, Hooks hooks)
    : ioContext_(ioContext),
      timers_(timers),
      idleConnections_(idleConnections),
      limits_(limits),
      hooks_(std::move(hooks)),
      responseFaultLog_(timers),
      memoryBudget_(std::make_shared<MemoryBudget>(limits.messageBytes)) {}

// ---- Starting and sending -------------------------------------------------------------------------

void AttemptRunner::start(AttemptId id, std::shared_ptr<UpstreamEndpoint> endpoint, const Options& options,
                          std::shared_ptr<const ForwardedRequest> request) {
    Attempt& attempt = attempts_[id];
    attempt.endpoint = std::move(endpoint);
    attempt.request = std::move(request);
    attempt.startedAt = steady_clock::now();
    attempt.timeoutAt = attempt.startedAt + options.timeout;
    attempt.sendDeadline = options.maxSendDelay > Duration::zero() ? attempt.startedAt + options.maxSendDelay
                                                                   : SteadyTimePoint::max();
    if (!canStart(attempt)) {
        finish(id, Outcome::notSent);
        return;
    }
    attempt.timeoutTimer = timers_.schedule(options.timeout, [this, id] { expire(id); });
    attempt.connection = idleConnections_.take(*attempt.endpoint);
    if (attempt.connection) {
        attempt.connection->assign(id);
        send(attempt);
        return;
    }
    if (!makeRoomForConnection()) {  // the endpoint is not at fault
        finish(id, Outcome::notSent);
        return;
    }
    connect(attempt, id, options.timeout);
}

bool AttemptRunner::canStart(const Attempt& attempt) const {
    return attempt.endpoint && attempt.timeoutAt > attempt.startedAt &&
           attempt.endpoint->acceptsAttempts(steady_clock::now(), limits_.drainGracePeriod);
}

// Closes an idle connection if the limit is reached. Returns whether a new connection may be opened.
bool AttemptRunner::makeRoomForConnection() {
    return *connectionCount_ < limits_.maxConnections || idleConnections_.evictLongestIdle();
}

void AttemptRunner::connect(Attempt& attempt, AttemptId id, Duration timeout) {
    attempt.connection =
        std::make_shared<UpstreamConnection>(ioContext_, static_cast<UpstreamConnectionObserver&>(*this),
                                             timers_, connectionCount_, memoryBudget_);
    attempt.connection->assign(id);
    const bool hasConnectTimeout = limits_.connectTimeout > Duration::zero();
    attempt.connection->connect(attempt.endpoint->address(), timers_,
                                hasConnectTimeout ? limits_.connectTimeout : timeout,
                                limits_.reclaimDescriptor);
}

void AttemptRunner::onConnected(AttemptId id) {
    hooks_.onNewConnection(id);
    if (!hooks_.shouldSendOnNewConnection(id)) {
        cancel(id);
        return;
    }
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) return;
    const Attempt& attempt = found->second;
    // The drain grace period or the send deadline may have passed while the connection was being
    // established.
    const SteadyTimePoint now = steady_clock::now();
    if (!attempt.endpoint->acceptsAttempts(now, limits_.drainGracePeriod) || now >= attempt.sendDeadline) {
        attempt.connection->close();
        finish(id, Outcome::notSent);
        return;
    }
    send(attempt);
}

void AttemptRunner::send(const Attempt& attempt) {
    const auto timeLeft = std::chrono::duration_cast<milliseconds>(attempt.timeoutAt - steady_clock::now());
    attempt.connection->write(*attempt.request, timeLeft);
}

// ---- Ending ---------------------------------------------------------------------------------------

void AttemptRunner::onResponse(AttemptId id, AttemptResult&& result, bool isReusable) {
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) return;
    Attempt& attempt = found->second;
    const SteadyTimePoint now = steady_clock::now();
    attempt.endpoint->recordResponse(now);
    if (isReusable && !attempt.endpoint->isDraining())
        idleConnections_.add(*attempt.endpoint, attempt.connection, now);
    else
        attempt.connection->close();
    finish(id, std::move(result));
}

void AttemptRunner::onBroken(const ConnectionPtr& connection) {
    const AttemptId id = connection->attempt();
    if (id == AttemptId::none) {
        onUnexpectedInput(connection);
    } else if (connection->isRequestWritten()) {
        responseFaultLog_.record(connection->responseFault());
        finish(id, Outcome::reset);  // the endpoint may have run the request
    } else {
        // Neither the loss of a connection that had been idle nor a failure to open a socket in this process
        // says anything about the endpoint's health.
        const bool isEndpointAtFault = !connection->isReused() && !connection->hasFailedToOpenSocket();
        finish(id, isEndpointAtFault ? Outcome::connectFailed : Outcome::notSent);
    }
}

void AttemptRunner::onUnexpectedInput(const ConnectionPtr& connection) {
    idleConnections_.close(connection);
}

void AttemptRunner::onMemoryExceeded() {
    while (memoryBudget_->isExceeded()) {
        ConnectionPtr oldest;
        for (const auto& [id, attempt] : attempts_) {
            const ConnectionPtr& connection = attempt.connection;
            if (!connection || connection->chargedBytes() == 0) continue;
            if (!oldest || connection->lastProgressAt() < oldest->lastProgressAt()) oldest = connection;
        }
        if (!oldest) return;
        oldest->closeAsBroken(ResponseFault::memoryLimit);
    }
}

void AttemptRunner::expire(AttemptId id) {
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) return;
    const Attempt& attempt = found->second;
    attempt.connection->close();
    // Connections to an unreachable machine stay open without an error. If the endpoint has sent no response
    // since the attempt started, its idle connections are closed too, so that the next attempt has to connect
    // and finds out whether the endpoint is reachable.
    const UpstreamEndpoint& endpoint = *attempt.endpoint;
    if (endpoint.lastResponseAt() < attempt.startedAt) idleConnections_.closeAll(endpoint);
    finish(id, attempt.connection->isRequestWritten() ? Outcome::timedOut : Outcome::connectFailed);
}

void AttemptRunner::cancel(AttemptId id) {
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) return;
    const Attempt& attempt = found->second;
    attempt.connection->close();
    finish(id, attempt.connection->isRequestWritten() ? Outcome::cancelled : Outcome::notSent);
}

void AttemptRunner::cancelUnsent(AttemptId id) {
    const auto found = attempts_.find(id);
    if (found != attempts_.end() && !found->second.connection->isRequestWritten()) cancel(id);
}

void AttemptRunner::finish(AttemptId id, Outcome outcome) {
    AttemptResult result;
    result.outcome = outcome;
    finish(id, std::move(result));
}

void AttemptRunner::finish(AttemptId id, AttemptResult&& result) {
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) return;
    result.elapsed = std::chrono::duration_cast<Duration>(steady_clock::now() - found->second.startedAt);
    timers_.cancel(found->second.timeoutTimer);
    attempts_.erase(found);
    hooks_.onEnded(id, std::move(result));
}

}  // namespace gateway::net
