#include "net/transport/timer_queue.h"

#include <exception>
#include <string>

#include "net/transport/log.h"

namespace gateway::net {

using std::chrono::steady_clock;

namespace {

constexpr auto kResolution = std::chrono::milliseconds(2);

SteadyTimePoint roundUpToResolution(SteadyTimePoint time) {
    const auto excess = time.time_since_epoch() % kResolution;
    return excess.count() > 0 ? time + (kResolution - excess) : time;
}

}  // namespace

TimerQueue::Token TimerQueue::after(Duration delay, std::function<void()> callback) {
    const SteadyTimePoint now = steady_clock::now();
    const SteadyTimePoint due = delay > Duration::zero() ? roundUpToResolution(now + delay) : now;
    const Token token = nextToken_;
    ++nextToken_;
    entries_.emplace(due, token);
    callbacks_.emplace(token, std::move(callback));
    if (due < armedFor_) arm();
    return token;
}

// Does not rearm the Asio timer: if the cancelled timer was the earliest, the Asio timer fires once without
// any timer due.
void TimerQueue::cancel(Token token) {
    if (callbacks_.erase(token) > 0) removeCancelledFront();
}

void TimerQueue::removeCancelledFront() {
    while (!entries_.empty() && !callbacks_.contains(entries_.top().second)) entries_.pop();
}

void TimerQueue::arm() {
    armedFor_ = entries_.top().first;
    timer_.expires_at(armedFor_);
    timer_.async_wait([this](const boost::system::error_code& ec) {
        if (!ec) fireDue();  // an error: the Asio timer was armed again for an earlier time
    });
}

void TimerQueue::fireDue() {
    const SteadyTimePoint now = steady_clock::now();
    armedFor_ = SteadyTimePoint::min();  // keeps callbacks that add timers from arming; arm() follows below
    while (!entries_.empty() && entries_.top().first <= now) {
        const Token token = entries_.top().second;
        entries_.pop();
        fire(token);
    }
    removeCancelledFront();
    armedFor_ = SteadyTimePoint::max();
    if (!entries_.empty()) arm();
}

void TimerQueue::fire(Token token) {
    const auto found = callbacks_.find(token);
    if (found == callbacks_.end()) return;
    const std::function<void()> callback = std::move(found->second);
    callbacks_.erase(found);
    try {
        callback();
    } catch (const std::exception& e) {  // the other timers still have to fire
        log(LogLevel::error, "timer",
            std::string("callback failed, continuing with the other timers: ") + e.what());
    }
}

}  // namespace gateway::net
