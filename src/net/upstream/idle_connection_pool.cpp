#include "net/upstream/idle_connection_pool.h"

#include <chrono>
#include <iterator>
#include <utility>

namespace gateway::net {

using std::chrono::steady_clock;

namespace {

constexpr double kMaxIdleFraction = 0.5;  // of the endpoints' keep-alive time
constexpr int kSweepsPerKeepAlive = 8;

}  // namespace

IdleConnectionPool::IdleConnectionPool(TimerQueue& timers, const Limits& limits)
    : timers_(timers),
      limits_(limits),
      maxIdleTime_(std::chrono::duration_cast<Duration>(limits.keepAlive * kMaxIdleFraction)) {}

void IdleConnectionPool::add(const UpstreamEndpoint& endpoint, ConnectionPtr connection,
                             SteadyTimePoint idleSince) {
    connections_[&endpoint].push_back({std::move(connection), idleSince});
    scheduleCloseExpired();
}

IdleConnectionPool::ConnectionPtr IdleConnectionPool::take(const UpstreamEndpoint& endpoint) {
    const auto found = connections_.find(&endpoint);
    if (found == connections_.end()) return nullptr;
    IdleConnections& candidates = found->second;
    const SteadyTimePoint now = steady_clock::now();
    // Skips the connections that are within the reuse delay: the most recently used, at the back.
    const SteadyTimePoint latestReusable = now - limits_.reuseDelay;
    auto end = candidates.end();
    while (end != candidates.begin() && std::prev(end)->idleSince > latestReusable) --end;
    while (end != candidates.begin()) {
        --end;
        const IdleConnection idle = std::move(*end);
        end = candidates.erase(end);
        // Unsolicited bytes or the close of the connection may not have been read yet.
        if (!isExpired(idle, now) && idle.connection->isOpenWithoutInput()) return idle.connection;
        idle.connection->close();
    }
    return nullptr;
}

void IdleConnectionPool::close(const ConnectionPtr& connection) {
    connection->close();
    for (auto& [endpoint, candidates] : connections_)
        std::erase_if(candidates, [&](const IdleConnection& idle) { return idle.connection == connection; });
}

void IdleConnectionPool::closeAll(const UpstreamEndpoint& endpoint) {
    const auto found = connections_.find(&endpoint);
    if (found == connections_.end()) return;
    for (const IdleConnection& idle : found->second) idle.connection->close();
    connections_.erase(found);
}

bool IdleConnectionPool::evictLongestIdle() {
    IdleConnections* oldest = nullptr;
    for (auto& [endpoint, candidates] : connections_) {
        if (candidates.empty()) continue;
        if (oldest == nullptr || candidates.front().idleSince < oldest->front().idleSince)
            oldest = &candidates;
    }
    if (oldest == nullptr) return false;
    oldest->front().connection->close();
    oldest->erase(oldest->begin());
    return true;
}

bool IdleConnectionPool::isExpired(const IdleConnection& idle, SteadyTimePoint now) const {
    return !idle.connection->isOpen() || idle.idleSince <= now - maxIdleTime_;
}

void IdleConnectionPool::closeExpired() {
    const SteadyTimePoint now = steady_clock::now();
    bool hasConnections = false;
    for (auto& [endpoint, candidates] : connections_) {
        std::erase_if(candidates, [&](const IdleConnection& idle) {
            if (!isExpired(idle, now)) return false;
            idle.connection->close();
            return true;
        });
        hasConnections = hasConnections || !candidates.empty();
    }
    if (hasConnections) scheduleCloseExpired();
}

void IdleConnectionPool::scheduleCloseExpired() {
    if (isCloseScheduled_) return;
    isCloseScheduled_ = true;
    timers_.schedule(limits_.keepAlive / kSweepsPerKeepAlive, [this] {
        isCloseScheduled_ = false;
        closeExpired();
    });
}

}  // namespace gateway::net
