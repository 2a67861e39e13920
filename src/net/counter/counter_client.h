// Calls the counter service over a few connections. A name always goes over the same lane, so that the
// replies for it come in the order of the calls.
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

class CounterClient final : private CounterConnection::Owner {
public:
    struct Limits {
        std::size_t connections = 8;  // the counter takes 32 of a gateway
        Duration callTimeout{};
        Duration connectTimeout{};
        ReclaimDescriptor reclaimDescriptor{};  // where the process has no descriptor left
    };
    using ReplyHandler = std::function<void(CounterReplied&&)>;

    // `io` and `timers` must outlive the client.
    CounterClient(boost::asio::io_context& io, TimerQueue& timers, const tcp::endpoint& address,
                  const Limits& limits, ReplyHandler onReply);

    // Every call ends with one ReplyHandler call, at the earliest within this one. It goes out with flush().
    void add(const AddToCounter& call);
    void flush();

    // Every call has ended.
    bool isIdle() const;

    // Goes over to the counter at another address: calls made from now on go there, each name's after those
    // that are out at the old one have ended.
    void moveTo(const tcp::endpoint& address);

private:
    using ConnectionPtr = std::shared_ptr<CounterConnection>;

    struct Lane {  // a connection and its successors
        ConnectionPtr current;
        ConnectionPtr previous;  // to the old address, while its calls are out
        std::chrono::steady_clock::time_point closedUntil{};
        Duration backoff{};
        bool needsFlush = false;
    };

    bool mayWrite(const CounterConnection& connection) const override;
    void onConnected(const CounterConnection& connection) override;
    void onReply(const CounterConnection& connection, CounterReplied&& reply) override;
    void onBroken(const CounterConnection& connection, bool wasUp) override;

    const ConnectionPtr& openConnection(std::size_t index);
    void connect(std::size_t index);
    void moveLane(std::size_t index);
    void retirePrevious(std::size_t index, const ConnectionPtr& previous);

    boost::asio::io_context& io_;
    TimerQueue& timers_;
    tcp::endpoint address_;
    std::string host_;  // as sent to the counter
    Limits limits_;
    ReplyHandler onReply_;
    std::vector<Lane> lanes_;
};

}  // namespace gateway::net
