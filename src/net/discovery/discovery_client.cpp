#include "net/discovery/discovery_client.h"

#include <algorithm>
#include <utility>

#include "net/transport/log.h"

namespace gateway::net {
namespace {

// Ended before only by a newer call: one that comes up late is a call that is not answered yet. The bound is
// for the handlers, past the life of any call.
constexpr Duration kConnectTimeout = std::chrono::seconds(10);
constexpr std::size_t kMaxPendingCalls = 2;

}  // namespace

DiscoveryClient::DiscoveryClient(boost::asio::io_context& io, TimerQueue& timers, const Clock& clock,
                                 Options options, UpdateHandler onUpdate)
    : io_(io), timers_(timers), clock_(clock), options_(std::move(options)), onUpdate_(std::move(onUpdate)) {}

// ---- Calls ----------------------------------------------------------------------------------------

// The next call is set at once: whatever becomes of this one, only an answer takes it back.
void DiscoveryClient::call() {
    if (stopped_) return;
    if (pending_.size() >= kMaxPendingCalls) {
        pending_.front()->close();
        pending_.erase(pending_.begin());
    }
    const auto stream =
        std::make_shared<WatchStream>(io_, static_cast<WatchStream::Owner&>(*this), timers_, needsSnapshot_);
    pending_.push_back(stream);
    callIn(options_.schedule.afterBegin(clock_.now()));
    stream->connect(options_.address, timers_, kConnectTimeout, options_.reclaimDescriptor);
}

void DiscoveryClient::callIn(Duration wait) {
    timers_.cancel(nextCall_);
    nextCall_ = timers_.after(wait, [this] { call(); });
}

void DiscoveryClient::closeAll() {
    if (const StreamPtr watch = std::exchange(watch_, nullptr)) watch->close();
    for (const StreamPtr& stream : std::exchange(pending_, {})) stream->close();
}

void DiscoveryClient::stop() {
    stopped_ = true;
    timers_.cancel(nextCall_);
    closeAll();
}

void DiscoveryClient::moveTo(const tcp::endpoint& address) {
    if (stopped_ || address == options_.address) return;
    options_.address = address;
    needsSnapshot_ = true;
    closeAll();
    const Duration wait = options_.schedule.afterReload(clock_.now());
    if (wait > Duration::zero()) return callIn(wait);
    call();
}

bool DiscoveryClient::isNewest(const WatchStream& stream) const {
    return !pending_.empty() && pending_.back().get() == &stream;
}

// ---- What becomes of a stream ---------------------------------------------------------------------

void DiscoveryClient::onRequested(const WatchStream& stream) {
    if (isNewest(stream)) callIn(options_.schedule.afterRequest(clock_.now()));
}

void DiscoveryClient::onAnswering(const WatchStream& stream) {
    timers_.cancel(nextCall_);
    for (const StreamPtr& pending : std::exchange(pending_, {})) {
        if (pending.get() == &stream)
            watch_ = pending;
        else
            pending->close();
    }
}

void DiscoveryClient::onRequestedAgain(const WatchStream& stream) {
    if (watch_.get() != &stream) return;
    pending_.push_back(std::exchange(watch_, nullptr));
    callIn(options_.schedule.afterRequest(clock_.now()));
}

void DiscoveryClient::onSilent(const WatchStream& stream, bool amidList) {
    if (watch_.get() != &stream) return;
    const StreamPtr silent = std::exchange(watch_, nullptr);
    if (amidList) pending_.push_back(silent);
    callIn(options_.schedule.afterSilence(clock_.now()));
}

void DiscoveryClient::onEnded(const WatchStream& stream) {
    const bool wasWatch = watch_.get() == &stream;
    const bool wasNewest = isNewest(stream);
    if (wasWatch) watch_ = nullptr;
    std::erase_if(pending_, [&](const StreamPtr& pending) { return pending.get() == &stream; });
    // Behind an older one the next call is set already.
    if (stopped_ || !(wasWatch || wasNewest)) return;
    callIn(stream.lacksDescriptor() ? options_.schedule.afterShortage()
                                    : options_.schedule.afterEnd(clock_.now()));
}

// ---- What a stream brings -------------------------------------------------------------------------

void DiscoveryClient::onSnapshot(std::string_view text) {
    EndpointList list = parse(text);
    list.isSnapshot = true;
    accept(list);
    needsSnapshot_ = false;
}

void DiscoveryClient::onDelta(std::string_view text) {
    accept(parse(text));
}

EndpointList DiscoveryClient::parse(std::string_view text) const {
    try {
        return parseEndpointList(text, options_.words);
    } catch (const std::exception& e) {
        log(LogLevel::warning, "discovery", e.what());
        throw;  // ends the stream; the next watch asks again from the last good version
    }
}

void DiscoveryClient::accept(const EndpointList& list) {
    options_.knownVersion = list.index;
    options_.schedule.onAnswer();
    onUpdate_(list);
}

}  // namespace gateway::net
