// Runs all timers of the process on one Asio timer.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <queue>
#include <unordered_map>
#include <utility>
#include <vector>

#include "net/transport/clock.h"

namespace gateway::net {

// Keeps the number of wake-ups and system calls small: due times are rounded up to a multiple of 2 ms, so
// that timers that are due at about the same time fire in one wake-up. Cancelling a timer makes no system
// call.
class TimerQueue {
public:
    // Identifies a timer. No timer has the token 0.
    using Token = std::uint64_t;

    // `ioContext` must outlive the queue. It must not run a handler after the queue is destroyed.
    explicit TimerQueue(boost::asio::io_context& ioContext) : timer_(ioContext) {}

    // Calls `callback` once from the event loop, `delay` from now or up to 2 ms later. A delay of 0 or less
    // means as soon as the event loop runs. An exception that `callback` throws is logged and does not affect
    // other timers. Returns the token for cancel().
    Token after(Duration delay, std::function<void()> callback);

    // Cancels a timer. Has no effect if it has fired or was cancelled.
    void cancel(Token token);

private:
    using Entry = std::pair<SteadyTimePoint, Token>;  // the due time and the timer

    void arm();
    void fireDue();
    void fire(Token token);
    void removeCancelledFront();

    boost::asio::steady_timer timer_;
    std::priority_queue<Entry, std::vector<Entry>, std::greater<>> entries_;  // the earliest first
    std::unordered_map<Token, std::function<void()>> callbacks_;  // of the timers that were not cancelled
    SteadyTimePoint armedFor_ = SteadyTimePoint::max();  // max: not armed; min: callbacks are running
    Token nextToken_ = 1;
};

}  // namespace gateway::net
