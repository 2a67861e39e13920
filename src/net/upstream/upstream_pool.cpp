#include "net/upstream/upstream_pool.h"

#include <algorithm>
#include <utility>

namespace gateway::net {

using std::chrono::steady_clock;

namespace {

constexpr double kIdleShare = 0.5;  // of the keep-alive time, after which an idle connection is closed here
constexpr int kSweepsPerKeepAlive = 8;

}  // namespace

UpstreamPool::UpstreamPool(boost::asio::io_context& io, TimerQueue& timers, const Limits& limits, Hooks hooks)
    : io_(io), timers_(timers), limits_(limits), hooks_(std::move(hooks)) {}

// ---- The endpoint list ----------------------------------------------------------------------------

void UpstreamPool::update(const EndpointList& list) {
    if (list.isSnapshot) removeMissing(list);
    for (const ResolvedEndpoint& listed : list.endpoints) updateEndpoint(listed);
}

// What a snapshot lacks was removed.
void UpstreamPool::removeMissing(const EndpointList& list) {
    std::erase_if(endpoints_, [&](const auto& known) {
        const bool isListed =
            std::any_of(list.endpoints.begin(), list.endpoints.end(),
                        [&](const ResolvedEndpoint& listed) { return listed.entry.endpoint == known.first; });
        if (!isListed) markLeaving(*known.second);
        return !isListed;
    });
}

void UpstreamPool::updateEndpoint(const ResolvedEndpoint& listed) {
    const EndpointEntry& entry = listed.entry;
    if (entry.availability == Availability::removed) {  // its attempts hold it as long as they last
        const auto found = endpoints_.find(entry.endpoint);
        if (found == endpoints_.end()) return;
        markLeaving(*found->second);
        endpoints_.erase(found);
        return;
    }
    auto& endpoint = endpoints_[entry.endpoint];
    if (!endpoint) endpoint = std::make_shared<Endpoint>();
    // A restarted process knows nothing of the connections of the one before, wherever it listens now.
    if (entry.startedAt != endpoint->startedAt || listed.address != endpoint->address) closeIdle(*endpoint);
    if (entry.availability == Availability::up)
        endpoint->leavingSince = Moment::max();
    else
        markLeaving(*endpoint);
    if (listed.address.port() != 0) endpoint->address = listed.address;
    endpoint->startedAt = entry.startedAt;
}

void UpstreamPool::markLeaving(Endpoint& endpoint) {
    endpoint.leavingSince = std::min(endpoint.leavingSince, steady_clock::now());
    closeIdle(endpoint);
}

// A send counts from its first byte: nothing new is written to an endpoint after the grace.
bool UpstreamPool::maySend(const Endpoint& endpoint) const {
    return endpoint.leavingSince == Moment::max() ||
           steady_clock::now() - endpoint.leavingSince < limits_.drainGracePeriod;
}

// ---- Attempts -------------------------------------------------------------------------------------

void UpstreamPool::start(AttemptId id, const EndpointId& endpointId, Duration timeout, Duration beginWithin,
                         std::shared_ptr<const ForwardedRequest> request) {
    const Moment now = steady_clock::now();
    const auto found = endpoints_.find(endpointId);
    const bool isKnown = found != endpoints_.end();
    const Moment beginBy = beginWithin > Duration::zero() ? now + beginWithin : Moment::max();
    attempts_[id] = {
        isKnown ? found->second : nullptr, std::move(request), now, now + timeout, beginBy, nullptr};
    if (!isKnown || timeout <= Duration::zero() || !maySend(*found->second))
        return finish(id, notSentResult());
    Attempt& attempt = attempts_[id];
    attempt.timer = timers_.after(timeout, [this, id] { expire(id); });
    if (ConnectionPtr idle = takeIdle(*attempt.endpoint)) {
        attempt.connection = std::move(idle);
        attempt.connection->assign(id);
        return write(attempt);
    }
    const bool hasRoom = *openConnections_ < limits_.connections || evictIdleConnection();
    if (!hasRoom) return finish(id, notSentResult());  // our own shortage: the endpoint may be well
    connect(attempt, id, timeout);
}

void UpstreamPool::connect(Attempt& attempt, AttemptId id, Duration timeout) {
    attempt.connection = std::make_shared<UpstreamConnection>(
        io_, static_cast<UpstreamConnection::Owner&>(*this), timers_, openConnections_);
    attempt.connection->assign(id);
    const bool isLimited = limits_.connectTimeout > Duration::zero();
    attempt.connection->connect(attempt.endpoint->address, timers_,
                                isLimited ? limits_.connectTimeout : timeout, limits_.reclaimDescriptor);
}

void UpstreamPool::write(const Attempt& attempt) {
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(attempt.until - steady_clock::now());
    attempt.connection->write(*attempt.request, left);
}

void UpstreamPool::onConnected(AttemptId id) {
    if (!hooks_.isWanted(id)) return cancel(id);
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) return;
    const Attempt& attempt = found->second;
    // Told while it was connecting that the endpoint leaves, or its time to begin went by meanwhile.
    if (!maySend(*attempt.endpoint) || steady_clock::now() >= attempt.beginBy) {
        attempt.connection->close();
        return finish(id, notSentResult());
    }
    write(attempt);
}

void UpstreamPool::onResponse(AttemptId id, AttemptResult&& result, bool reusable) {
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) return;
    const ConnectionPtr connection = std::move(found->second.connection);
    Endpoint& endpoint = *found->second.endpoint;
    endpoint.heardAt = steady_clock::now();
    if (reusable && endpoint.leavingSince == Moment::max()) {
        connection->setIdleSince(endpoint.heardAt);
        endpoint.idle.push_back(connection);
        scheduleCloseOldIdle();
    } else {
        connection->close();
    }
    finish(id, std::move(result));
}

// An attempt whose last byte has not gone to the kernel can't have been begun; after that it may have run.
void UpstreamPool::onBroken(const ConnectionPtr& connection) {
    const AttemptId id = connection->attempt();
    if (id == AttemptId::none) return onUnexpectedInput(connection);
    // The end of a connection that stood idle, or a shortage here, tells nothing of whether the endpoint is
    // well.
    const bool isOwnFault = connection->isReused() || connection->lacksDescriptor();
    AttemptResult result;
    result.outcome = isOwnFault ? Outcome::notSent : Outcome::connectFailed;
    if (connection->isRequestWritten()) result.outcome = Outcome::reset;
    finish(id, std::move(result));
}

void UpstreamPool::onUnexpectedInput(const ConnectionPtr& connection) {
    connection->close();
    for (auto& [id, endpoint] : endpoints_) std::erase(endpoint->idle, connection);
}

void UpstreamPool::expire(AttemptId id) {
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) return;
    const ConnectionPtr connection = found->second.connection;
    connection->close();
    AttemptResult result;
    result.outcome = connection->isRequestWritten() ? Outcome::timedOut : Outcome::connectFailed;
    // A machine that was cut off says nothing and its connections stay open: where nothing at all was heard
    // of it meanwhile, the idle ones go too, and the next attempt's connecting shows whether it is there.
    Endpoint& endpoint = *found->second.endpoint;
    if (endpoint.heardAt < found->second.began) closeIdle(endpoint);
    finish(id, std::move(result));
}

void UpstreamPool::cancel(AttemptId id) {
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) return;
    const ConnectionPtr connection = found->second.connection;
    connection->close();
    AttemptResult result;
    result.outcome = connection->isRequestWritten() ? Outcome::cancelled : Outcome::notSent;
    finish(id, std::move(result));
}

void UpstreamPool::cancelUnsent(AttemptId id) {
    const auto found = attempts_.find(id);
    if (found != attempts_.end() && !found->second.connection->isRequestWritten()) cancel(id);
}

void UpstreamPool::finish(AttemptId id, AttemptResult&& result) {
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) return;
    result.elapsed = std::chrono::duration_cast<Duration>(steady_clock::now() - found->second.began);
    timers_.cancel(found->second.timer);
    attempts_.erase(found);
    hooks_.onEnded(id, std::move(result));
}

// ---- Idle connections -----------------------------------------------------------------------------

UpstreamPool::Moment UpstreamPool::oldestReusable() const {
    return steady_clock::now() - std::chrono::duration_cast<Duration>(limits_.keepAlive * kIdleShare);
}

UpstreamPool::ConnectionPtr UpstreamPool::takeIdle(Endpoint& endpoint) const {
    const Moment now = steady_clock::now();
    const Moment oldest = oldestReusable();
    // Those that may not be reused yet stand at the back.
    auto end = endpoint.idle.end();
    while (end != endpoint.idle.begin() && now - (*std::prev(end))->idleSince() < limits_.reuseDelay) --end;
    while (end != endpoint.idle.begin()) {
        ConnectionPtr connection = std::move(*--end);
        end = endpoint.idle.erase(end);
        // What has come unasked, or the connection's end, is not read yet where both came since the last
        // look.
        if (connection->isOpen() && connection->idleSince() > oldest && connection->isQuiet())
            return connection;
        connection->close();
    }
    return nullptr;
}

void UpstreamPool::closeIdle(Endpoint& endpoint) {
    for (const ConnectionPtr& connection : endpoint.idle) connection->close();
    endpoint.idle.clear();
}

// Bounds the connections over all endpoints: the one idle the longest gives way.
bool UpstreamPool::evictIdleConnection() {
    Endpoint* longest = nullptr;
    for (auto& [id, endpoint] : endpoints_) {
        if (endpoint->idle.empty()) continue;
        if (longest == nullptr || endpoint->idle.front()->idleSince() < longest->idle.front()->idleSince())
            longest = endpoint.get();
    }
    if (longest == nullptr) return false;
    longest->idle.front()->close();
    longest->idle.erase(longest->idle.begin());
    return true;
}

// Guards against writing to a connection that its endpoint is just closing.
void UpstreamPool::closeOldIdle() {
    sweepScheduled_ = false;
    const Moment oldest = oldestReusable();
    bool anyLeft = false;
    for (auto& [id, endpoint] : endpoints_) {
        std::erase_if(endpoint->idle, [&](const ConnectionPtr& connection) {
            if (connection->isOpen() && connection->idleSince() > oldest) return false;
            connection->close();
            return true;
        });
        anyLeft = anyLeft || !endpoint->idle.empty();
    }
    if (anyLeft) scheduleCloseOldIdle();
}

void UpstreamPool::scheduleCloseOldIdle() {
    if (std::exchange(sweepScheduled_, true)) return;
    timers_.after(limits_.keepAlive / kSweepsPerKeepAlive, [this] { closeOldIdle(); });
}

}  // namespace gateway::net
