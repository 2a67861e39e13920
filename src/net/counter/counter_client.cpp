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

CounterClient::CounterClient(boost::asio::io_context& io, TimerQueue& timers, const tcp::endpoint& address,
                             const Limits& limits, ReplyHandler onReply)
    : io_(io),
      timers_(timers),
      address_(address),
      host_(toString(address)),
      limits_(limits),
      onReply_(std::move(onReply)),
      lanes_(limits.connections) {}

// ---- Calls ----------------------------------------------------------------------------------------

void CounterClient::add(const AddToCounter& call) {
    const std::size_t lane = std::hash<std::string>{}(call.name) % lanes_.size();
    if (const ConnectionPtr& connection = openConnection(lane)) {
        connection->call(call, host_);
        lanes_[lane].needsFlush = true;
        return;
    }
    CounterReplied reply;  // it could not be reached a moment ago
    reply.name = call.name;
    reply.outcome = Outcome::connectFailed;
    onReply_(std::move(reply));
}

void CounterClient::flush() {
    for (Lane& lane : lanes_)
        if (std::exchange(lane.needsFlush, false) && lane.current) lane.current->flush();
}

bool CounterClient::isIdle() const {
    return std::all_of(lanes_.begin(), lanes_.end(), [](const Lane& lane) {
        return (!lane.current || lane.current->isIdle()) && (!lane.previous || lane.previous->isIdle());
    });
}

// ---- Connections ----------------------------------------------------------------------------------

const CounterClient::ConnectionPtr& CounterClient::openConnection(std::size_t index) {
    Lane& lane = lanes_[index];
    if (lane.current && lane.current->isStale()) {
        const auto stale = std::exchange(lane.current, nullptr);
        stale->failAll();
    }
    if (!lane.current && steady_clock::now() >= lane.closedUntil) connect(index);
    return lane.current;
}

void CounterClient::connect(std::size_t index) {
    Lane& lane = lanes_[index];
    lane.current = std::make_shared<CounterConnection>(io_, static_cast<CounterConnection::Owner&>(*this),
                                                       timers_, index, limits_.callTimeout);
    lane.current->connect(address_, timers_, limits_.connectTimeout, limits_.reclaimDescriptor);
}

void CounterClient::onConnected(const CounterConnection& connection) {
    lanes_[connection.lane()].backoff = {};
}

void CounterClient::onBroken(const CounterConnection& connection, bool wasUp) {
    Lane& lane = lanes_[connection.lane()];
    if (lane.current.get() != &connection) return;
    lane.current = nullptr;
    if (wasUp) return;  // an idle one that was closed: the next call connects at once
    lane.backoff = std::clamp(lane.backoff * 2, kInitialBackoff, kMaxBackoff);
    lane.closedUntil = steady_clock::now() + lane.backoff;
}

// ---- Another address ------------------------------------------------------------------------------

void CounterClient::moveTo(const tcp::endpoint& address) {
    if (address == address_) return;
    address_ = address;
    host_ = toString(address);
    for (std::size_t lane = 0; lane < lanes_.size(); ++lane) moveLane(lane);
}

void CounterClient::moveLane(std::size_t index) {
    Lane& lane = lanes_[index];
    // Replies of two moves ago can't be waited for: what comes of those calls is reported as unknown.
    if (const auto older = std::exchange(lane.previous, nullptr)) older->failAll();
    if (const auto old = std::exchange(lane.current, nullptr)) {
        if (!old->isOpen() || old->isIdle()) {
            old->failAll();
        } else {
            lane.previous = old;  // its calls end by their own time limits at the latest
            old->release();
        }
    }
    lane.backoff = {};
    lane.closedUntil = {};
    if (!lane.current) connect(index);  // what was reported may have caused a call already
}

// The module takes a name's replies in the order of its calls: no call goes to the new address while one is
// out at the old.
bool CounterClient::mayWrite(const CounterConnection& connection) const {
    const Lane& lane = lanes_[connection.lane()];
    return lane.previous == nullptr || lane.previous.get() == &connection;
}

void CounterClient::onReply(const CounterConnection& connection, CounterReplied&& reply) {
    onReply_(std::move(reply));
    const Lane& lane = lanes_[connection.lane()];
    if (lane.previous.get() != &connection || !connection.isIdle()) return;
    // From the loop, as the old connection may be in the midst of its input.
    timers_.after(Duration::zero(), [this, index = connection.lane(), weak = std::weak_ptr(lane.previous)] {
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
