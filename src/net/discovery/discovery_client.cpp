#include "net/discovery/discovery_client.h"

#include <utility>

#include "net/transport/log.h"

namespace gateway::net {
namespace {

// Longer than any call stays pending, so that a slow connect does not end a call: only newer calls close it.
constexpr Duration kConnectTimeout = std::chrono::seconds(10);
constexpr std::size_t kMaxPendingCalls = 2;

}  // namespace

DiscoveryClient::DiscoveryClient(boost::asio::io_context& ioContext, TimerQueue& timers, const Clock& clock,
                                 Options options, UpdateHandler onUpdate)
    : ioContext_(ioContext),
      timers_(timers),
      clock_(clock),
      options_(std::move(options)),
      onUpdate_(std::move(onUpdate)) {}

// ---- Calls ----------------------------------------------------------------------------------------

// Schedules the next call before this one connects, so that the next call is made in time however this one
// fails. Only an answer cancels the next call.
void DiscoveryClient::call() {
    if (isStopped_) return;
    if (pending_.size() >= kMaxPendingCalls) {
        pending_.front()->close();
        pending_.erase(pending_.begin());
    }
    const auto stream = std::make_shared<WatchStream>(ioContext_, static_cast<WatchStreamObserver&>(*this),
                                                      timers_, needsSnapshot_);
    pending_.push_back(stream);
    scheduleCall(options_.schedule.delayAfterStart(clock_.now()));
    stream->connect(options_.address, timers_, kConnectTimeout, options_.reclaimDescriptor);
}

void DiscoveryClient::scheduleCall(Duration delay) {
    timers_.cancel(nextCall_);
    nextCall_ = timers_.schedule(delay, [this] { call(); });
}

void DiscoveryClient::closeAll() {
    const StreamPtr watch = std::exchange(watch_, nullptr);
    if (watch) watch->close();
    const std::vector<StreamPtr> pending = std::exchange(pending_, {});
    for (const StreamPtr& stream : pending) stream->close();
}

void DiscoveryClient::stop() {
    isStopped_ = true;
    timers_.cancel(nextCall_);
    closeAll();
}

void DiscoveryClient::changeAddress(const tcp::endpoint& address) {
    if (isStopped_ || address == options_.address) return;
    options_.address = address;
    needsSnapshot_ = true;
    closeAll();
    const Duration delay = options_.schedule.delayAfterReload(clock_.now());
    if (delay > Duration::zero())
        scheduleCall(delay);
    else
        call();
}

bool DiscoveryClient::isNewestPending(const WatchStream& stream) const {
    return !pending_.empty() && pending_.back().get() == &stream;
}

// ---- Streams --------------------------------------------------------------------------------------

void DiscoveryClient::onRequestSent(const WatchStream& stream) {
    if (isNewestPending(stream)) scheduleCall(options_.schedule.delayAfterRequest(clock_.now()));
}

void DiscoveryClient::onBodyStarted(const WatchStream& stream) {
    timers_.cancel(nextCall_);
    const std::vector<StreamPtr> answered = std::exchange(pending_, {});
    for (const StreamPtr& pending : answered) {
        if (pending.get() == &stream)
            watch_ = pending;
        else
            pending->close();
    }
}

void DiscoveryClient::onWatchRequestSent(const WatchStream& stream) {
    if (watch_.get() != &stream) return;
    pending_.push_back(std::exchange(watch_, nullptr));
    scheduleCall(options_.schedule.delayAfterRequest(clock_.now()));
}

void DiscoveryClient::onSilent(const WatchStream& stream, bool isListIncomplete) {
    if (watch_.get() != &stream) return;
    const StreamPtr silent = std::exchange(watch_, nullptr);
    if (isListIncomplete) pending_.push_back(silent);
    scheduleCall(options_.schedule.delayAfterSilence(clock_.now()));
}

void DiscoveryClient::onEnded(const WatchStream& stream) {
    const bool wasWatch = watch_.get() == &stream;
    const bool wasNewest = isNewestPending(stream);
    if (wasWatch) watch_ = nullptr;
    std::erase_if(pending_, [&](const StreamPtr& pending) { return pending.get() == &stream; });
    // The end of an older call has no effect, because the newer call has scheduled the next one.
    if (isStopped_ || !(wasWatch || wasNewest)) return;
    scheduleCall(stream.hasFailedToOpenSocket() ? options_.schedule.delayAfterDescriptorShortage()
                                                : options_.schedule.delayAfterFailure(clock_.now()));
}

// ---- Documents ------------------------------------------------------------------------------------

void DiscoveryClient::onSnapshot(std::string_view document) {
    EndpointList list = parse(document);
    list.isSnapshot = true;
    applyUpdate(list);
    needsSnapshot_ = false;
}

void DiscoveryClient::onChanges(std::string_view document) {
    applyUpdate(parse(document));
}

// If the document is invalid, logs that and throws, which ends the stream. The next watch requests the
// changes since the last valid version.
EndpointList DiscoveryClient::parse(std::string_view document) const {
    try {
        return parseEndpointList(document, options_.zoneAndKindNames);
    } catch (const std::exception& e) {
        log(LogLevel::warning, "discovery",
            std::string("received an invalid endpoint list: ") + e.what() +
                "; keeping the last valid list and calling discovery again");
        throw;
    }
}

void DiscoveryClient::applyUpdate(const EndpointList& list) {
    options_.knownVersion = list.version;
    options_.schedule.recordListReceived();
    onUpdate_(list);
}

}  // namespace gateway::net
