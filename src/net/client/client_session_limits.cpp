// How ClientSession limits what a client holds, and which sessions can be ended at a limit.
#include "net/client/client_session.h"

namespace gateway::net {

using std::chrono::steady_clock;

namespace {

constexpr Duration kDisconnectPollInterval =
    std::chrono::milliseconds(50);  // while input is left in the kernel

}  // namespace

// ---- Sessions that hold up others -----------------------------------------------------------------

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

// ---- Input and memory -----------------------------------------------------------------------------

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

}  // namespace gateway::net
