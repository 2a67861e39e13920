#include "net/counter/counter_client.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace gateway::net {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr Duration kInitialBackoff = milliseconds(20);
constexpr Duration kMaxBackoff = milliseconds(500);

std::string toString(const tcp::endpoint& address) {
    std::ostringstream text;
    text << address;
    return text.str();
}

}  // namespace

CounterClient::CounterClient(boost::asio::io_context& ioContext, TimerQueue& timers,
                             const tcp::endpoint& address, const Limits& limits, ReplyHandler onReply)
    : ioContext_(ioContext),
      timers_(timers),
      address_(address),
      host_(toString(address)),
      limits_(limits),
      onReply_(std::move(onReply)),
      channels_(limits.channels) {}

// ---- Calls ----------------------------------------------------------------------------------------

void CounterClient::add(const AddToCounter& call) {
    const std::size_t index = std::hash<std::string>{}(call.name) % channels_.size();
    if (const ConnectionPtr& connection = ensureConnection(index)) {
        connection->call(call, host_);
        channels_[index].needsFlush = true;
        return;
    }
    CounterReplied reply;
    reply.name = call.name;
    reply.outcome = Outcome::connectFailed;
    onReply_(std::move(reply));
}

void CounterClient::flush() {
    for (Channel& channel : channels_) {
        if (!channel.needsFlush) continue;
        channel.needsFlush = false;
        if (channel.current) channel.current->flush();
    }
}

bool CounterClient::isIdle() const {
    const auto hasNoCalls = [](const ConnectionPtr& connection) {
        return !connection || connection->hasReportedAllCalls();
    };
    return std::all_of(channels_.begin(), channels_.end(), [&](const Channel& channel) {
        return hasNoCalls(channel.current) && hasNoCalls(channel.previous);
    });
}

// ---- Connections ----------------------------------------------------------------------------------

const CounterClient::ConnectionPtr& CounterClient::ensureConnection(std::size_t index) {
    Channel& channel = channels_[index];
    if (channel.current && channel.current->isStale()) {
        const ConnectionPtr stale = std::exchange(channel.current, nullptr);
        stale->closeAndEndCalls();
    }
    if (!channel.current && steady_clock::now() >= channel.connectNotBefore) connect(index);
    return channel.current;
}

void CounterClient::connect(std::size_t index) {
    Channel& channel = channels_[index];
    channel.current = std::make_shared<CounterConnection>(
        ioContext_, static_cast<CounterConnectionObserver&>(*this), timers_, index, limits_.callTimeout);
    channel.current->connect(address_, timers_, limits_.connectTimeout, limits_.reclaimDescriptor);
}

void CounterClient::onConnected(const CounterConnection& connection) {
    channels_[connection.channelIndex()].backoff = {};
}

void CounterClient::onBroken(const CounterConnection& connection, bool wasConnected) {
    Channel& channel = channels_[connection.channelIndex()];
    if (channel.current.get() != &connection) return;
    channel.current = nullptr;
    if (wasConnected) return;  // needs no backoff: the counter may have closed an idle connection
    channel.backoff = std::clamp(channel.backoff * 2, kInitialBackoff, kMaxBackoff);
    channel.connectNotBefore = steady_clock::now() + channel.backoff;
}

// ---- Change of address ----------------------------------------------------------------------------

void CounterClient::changeAddress(const tcp::endpoint& address) {
    if (address == address_) return;
    address_ = address;
    host_ = toString(address);
    for (std::size_t index = 0; index < channels_.size(); ++index) changeChannelAddress(index);
}

void CounterClient::changeChannelAddress(std::size_t index) {
    Channel& channel = channels_[index];
    retireCurrent(channel);
    if (channel.previous) channel.previous->writeHeldCalls();
    channel.backoff = {};
    channel.connectNotBefore = {};
    if (!channel.current) connect(index);  // a new call during closeAndEndCalls() has connected already
}

// Makes the channel's current connection the previous one, or closes it if all its calls were reported.
void CounterClient::retireCurrent(Channel& channel) {
    // A channel keeps at most one previous connection. Calls on an older one end as timed out if they were
    // written, and as connectFailed otherwise.
    const ConnectionPtr oldest = std::exchange(channel.previous, nullptr);
    if (oldest) oldest->closeAndEndCalls();
    const ConnectionPtr old = std::exchange(channel.current, nullptr);
    if (old && old->isOpen() && !old->hasReportedAllCalls())
        channel.previous = old;  // its calls end at their timeouts at the latest
    else if (old)
        old->closeAndEndCalls();
}

void CounterClient::onEnding(const CounterConnection& connection) {
    Channel& channel = channels_[connection.channelIndex()];
    if (channel.current.get() == &connection) retireCurrent(channel);
}

// The engine expects the replies for a name in the order of the calls, so a channel writes nothing to its new
// connection while a call on the previous one is in flight.
bool CounterClient::canWrite(const CounterConnection& connection) const {
    const Channel& channel = channels_[connection.channelIndex()];
    return channel.previous == nullptr || channel.previous.get() == &connection;
}

void CounterClient::onReply(const CounterConnection& connection, CounterReplied&& reply) {
    onReply_(std::move(reply));
    const Channel& channel = channels_[connection.channelIndex()];
    if (channel.previous.get() != &connection || !connection.hasReportedAllCalls()) return;
    // Closes the connection from the event loop, since it may still be reading its input.
    timers_.schedule(Duration::zero(),
                     [this, index = connection.channelIndex(), weak = std::weak_ptr(channel.previous)] {
                         if (const auto previous = weak.lock()) closePrevious(index, previous);
                     });
}

void CounterClient::closePrevious(std::size_t index, const ConnectionPtr& previous) {
    Channel& channel = channels_[index];
    if (channel.previous != previous) return;
    channel.previous = nullptr;
    previous->closeAndEndCalls();
    if (channel.current) channel.current->writeHeldCalls();
}

}  // namespace gateway::net
