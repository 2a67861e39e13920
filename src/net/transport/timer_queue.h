// All timers of the process behind one Asio timer.
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

// Keeps the number of wake-ups and system calls small: timers fire on a grid of 2 ms, so that those set
// together fire together, and a cancelled timer causes no wake-up of its own.
class TimerQueue {
public:
    // Identifies a timer. 0 is never used.
    using Token = std::uint64_t;

    // `ioContext` must outlive the queue, and the queue every handler that `ioContext` runs.
    explicit TimerQueue(boost::asio::io_context& ioContext) : timer_(ioContext) {}

    // Calls `callback` once from the event loop, `delay` from now or up to 2 ms later. A delay of 0 or less means
    // the loop's next turn. An exception of `callback` is logged and affects no other timer.
    Token after(Duration delay, std::function<void()> callback);

    // Has no effect on a timer that has fired or was cancelled.
    void cancel(Token token);

private:
    using Entry = std::pair<SteadyTimePoint, Token>;  // when it is due

    void arm();
    void fireDue();
    void fire(Token token);
    void removeCancelledFront();

    boost::asio::steady_timer timer_;
    std::priority_queue<Entry, std::vector<Entry>, std::greater<>> entries_;  // the next due first
    std::unordered_map<Token, std::function<void()>> callbacks_;              // of the timers not cancelled
    SteadyTimePoint armedFor_ = SteadyTimePoint::max();  // max: not armed; min: arms after firing
    Token nextToken_ = 1;
};

}  // namespace gateway::net
