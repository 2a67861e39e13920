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
      lanes_(limits.lanes) {}

// ---- Calls ----------------------------------------------------------------------------------------

void CounterClient::add(const AddToCounter& call) {
    const std::size_t lane = std::hash<std::string>{}(call.name) % lanes_.size();
    if (const ConnectionPtr& connection = ensureConnection(lane)) {
        connection->call(call, host_);
        lanes_[lane].needsFlush = true;
        return;
    }
    CounterReplied reply;
    reply.name = call.name;
    reply.outcome = Outcome::connectFailed;
    onReply_(std::move(reply));
}

void CounterClient::flush() {
    for (Lane& lane : lanes_) {
        if (!lane.needsFlush) continue;
        lane.needsFlush = false;
        if (lane.current) lane.current->flush();
    }
}

bool CounterClient::isIdle() const {
    const auto hasNoCalls = [](const ConnectionPtr& connection) {
        return !connection || connection->isIdle();
    };
    return std::all_of(lanes_.begin(), lanes_.end(), [&](const Lane& lane) {
        return hasNoCalls(lane.current) && hasNoCalls(lane.previous);
    });
}

// ---- Connections ----------------------------------------------------------------------------------

const CounterClient::ConnectionPtr& CounterClient::ensureConnection(std::size_t index) {
    Lane& lane = lanes_[index];
    if (lane.current && lane.current->isStale()) {
        const ConnectionPtr stale = std::exchange(lane.current, nullptr);
        stale->failAll();
    }
    if (!lane.current && steady_clock::now() >= lane.connectNotBefore) connect(index);
    return lane.current;
}

void CounterClient::connect(std::size_t index) {
    Lane& lane = lanes_[index];
    lane.current = std::make_shared<CounterConnection>(
        ioContext_, static_cast<CounterConnectionObserver&>(*this), timers_, index, limits_.callTimeout);
    lane.current->connect(address_, timers_, limits_.connectTimeout, limits_.reclaimDescriptor);
}

void CounterClient::onConnected(const CounterConnection& connection) {
    lanes_[connection.lane()].backoff = {};
}

void CounterClient::onBroken(const CounterConnection& connection, bool wasConnected) {
    Lane& lane = lanes_[connection.lane()];
    if (lane.current.get() != &connection) return;
    lane.current = nullptr;
    if (wasConnected) return;  // needs no backoff: the counter may have closed an idle connection
    lane.backoff = std::clamp(lane.backoff * 2, kInitialBackoff, kMaxBackoff);
    lane.connectNotBefore = steady_clock::now() + lane.backoff;
}

// ---- Change of address ----------------------------------------------------------------------------

void CounterClient::moveTo(const tcp::endpoint& address) {
    if (address == address_) return;
    address_ = address;
    host_ = toString(address);
    for (std::size_t lane = 0; lane < lanes_.size(); ++lane) moveLane(lane);
}

void CounterClient::moveLane(std::size_t index) {
    Lane& lane = lanes_[index];
    // A lane keeps at most one previous connection. Calls on an older one end as timed out.
    const ConnectionPtr oldest = std::exchange(lane.previous, nullptr);
    if (oldest) oldest->failAll();
    const ConnectionPtr old = std::exchange(lane.current, nullptr);
    if (old && old->isOpen() && !old->isIdle()) {
        lane.previous = old;  // its calls end at their timeouts at the latest
        old->release();
    } else if (old) {
        old->failAll();
    }
    lane.backoff = {};
    lane.connectNotBefore = {};
    if (!lane.current) connect(index);  // failAll() may have caused a new call, which has connected already
}

// The engine expects the replies for a name in the order of the calls, so a lane writes nothing to the new
// address while a call to the old one is in flight.
bool CounterClient::mayWrite(const CounterConnection& connection) const {
    const Lane& lane = lanes_[connection.lane()];
    return lane.previous == nullptr || lane.previous.get() == &connection;
}

void CounterClient::onReply(const CounterConnection& connection, CounterReplied&& reply) {
    onReply_(std::move(reply));
    const Lane& lane = lanes_[connection.lane()];
    if (lane.previous.get() != &connection || !connection.isIdle()) return;
    // Retires the connection from the event loop, since it may still be reading its input.
    timers_.schedule(Duration::zero(),
                     [this, index = connection.lane(), weak = std::weak_ptr(lane.previous)] {
                         if (const auto previous = weak.lock()) retirePrevious(index, previous);
                     });
}

void CounterClient::retirePrevious(std::size_t index, const ConnectionPtr& previous) {
    Lane& lane = lanes_[index];
    if (lane.previous != previous) return;
    lane.previous = nullptr;
    previous->failAll();
    if (lane.current) lane.current->release();
}

}  // namespace gateway::net
