// A client of the counter service that uses several connections.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "gateway/actions.h"
#include "gateway/events.h"
#include "net/counter/counter_connection.h"
#include "net/transport/timer_queue.h"

namespace gateway::net {

// Distributes calls over channels by a hash of the counter name. All calls for a name use the same channel,
// so their replies come in the order of the calls. A channel has one connection, and replaces it when the
// connection breaks or the counter's address changes.
class CounterClient final : private CounterConnectionObserver {
public:
    struct Limits {
        // Each channel has one connection, or two during a change of address. The counter accepts at most 32
        // connections from a gateway.
        std::size_t channels = 8;
        Duration callTimeout{};
        Duration connectTimeout{};
        ReclaimDescriptor reclaimDescriptor{};  // called when the process has no free descriptor
    };
    using ReplyHandler = std::function<void(CounterReplied&&)>;

    // `ioContext` and `timers` must outlive the client.
    CounterClient(boost::asio::io_context& ioContext, TimerQueue& timers, const tcp::endpoint& address,
                  const Limits& limits, ReplyHandler onReply);

    // Starts a call. It is sent by the next flush() or, if its channel can't write yet, as soon as the
    // channel can. Calls the ReplyHandler once for it, possibly before add() returns.
    void add(const AddToCounter& call);
    void flush();

    // Returns whether all calls have ended.
    bool isIdle() const;

    // Sends new calls to another address. A channel holds its new calls until its calls to the old address
    // have ended.
    void changeAddress(const tcp::endpoint& address);

private:
    using ConnectionPtr = std::shared_ptr<CounterConnection>;

    struct Channel {
        ConnectionPtr current;
        ConnectionPtr previous;  // a connection that gets no further calls, until its calls have ended
        std::chrono::steady_clock::time_point connectNotBefore{};
        Duration backoff{};
        bool needsFlush = false;
    };

    bool canWrite(const CounterConnection& connection) const override;
    void onConnected(const CounterConnection& connection) override;
    void onReply(const CounterConnection& connection, CounterReplied&& reply) override;
    void onEnding(const CounterConnection& connection) override;
    void onBroken(const CounterConnection& connection, bool wasConnected) override;

    // Returns the channel's connection, which may still be connecting; null during the channel's backoff.
    const ConnectionPtr& ensureConnection(std::size_t index);
    void connect(std::size_t index);
    void changeChannelAddress(std::size_t index);
    static void retireCurrent(Channel& channel);
    void closePrevious(std::size_t index, const ConnectionPtr& previous);

    boost::asio::io_context& ioContext_;
    TimerQueue& timers_;
    tcp::endpoint address_;
    std::string host_;  // `address_` as text, for the Host header
    Limits limits_;
    ReplyHandler onReply_;
    std::vector<Channel> channels_;
};

}  // namespace gateway::net
