#include "net/counter/counter_connection.h"

#include <algorithm>
#include <utility>

namespace gateway::net {

using std::chrono::steady_clock;

namespace {

// The counter closes idle connections after about 10 s or less.
constexpr Duration kMaxIdleTime = std::chrono::seconds(3);
// A connection counts as dead if a call has been unanswered for this many call timeouts.
constexpr int kMaxUnansweredTimeouts = 4;

}  // namespace

CounterConnection::CounterConnection(boost::asio::io_context& ioContext, CounterConnectionObserver& observer,
                                     TimerQueue& timers, std::size_t channelIndex, Duration callTimeout)
    : TcpConnection(ioContext),
      observer_(observer),
      timers_(timers),
      channelIndex_(channelIndex),
      callTimeout_(callTimeout) {}

// ---- Calls ----------------------------------------------------------------------------------------

void CounterConnection::call(const AddToCounter& add, std::string_view host) {
    Call call;
    call.number = nextNumber_++;
    call.name = add.name;
    call.startedAt = steady_clock::now();
    std::string text;
    appendCounterCall(text, add, host);
    // Holds the call until the connection may write, because a call that times out before that must not be
    // sent.
    if (isOpen() && observer_.canWrite(*this))
        queueCall(call, text);
    else
        call.heldRequest = std::move(text);
    call.timeoutTimer = timers_.schedule(callTimeout_, [this, weak = weak_from_this(), number = call.number] {
        if (const auto self = weak.lock()) expireCall(number);
    });
    calls_.push_back(std::move(call));
}

void CounterConnection::queueCall(Call& call, const std::string& text) {
    queue(text);
    queuedBytes_ += text.size();
    call.endOffset = queuedBytes_;
}

void CounterConnection::writeHeldCalls() {
    if (!isOpen() || !observer_.canWrite(*this)) return;
    for (Call& call : calls_) {
        if (call.endOffset) continue;
        queueCall(call, call.heldRequest);
        call.heldRequest.clear();
    }
    flush();
}

void CounterConnection::expireCall(std::uint64_t number) {
    const auto expired =
        std::find_if(calls_.begin(), calls_.end(), [&](const Call& call) { return call.number == number; });
    if (expired == calls_.end() || expired->hasTimedOut) return;
    if (expired->endOffset) {
        expired->hasTimedOut = true;
        report(*expired, Outcome::timedOut, 0);
        return;
    }
    const Call call = std::move(*expired);
    calls_.erase(expired);
    report(call, Outcome::connectFailed, 0);
}

void CounterConnection::report(const Call& call, Outcome outcome, double total) {
    timers_.cancel(call.timeoutTimer);
    CounterReplied reply;
    reply.name = call.name;
    reply.outcome = outcome;
    reply.total = total;
    reply.elapsed = std::chrono::duration_cast<Duration>(steady_clock::now() - call.startedAt);
    observer_.onReply(*this, std::move(reply));
}

void CounterConnection::closeAndEndCalls(Outcome writtenOutcome) {
    close();
    const std::deque<Call> calls = std::exchange(calls_, {});
    for (const Call& call : calls) {
        if (call.hasTimedOut) continue;
        report(call, isWritten(call) ? writtenOutcome : Outcome::connectFailed, 0);
    }
}

bool CounterConnection::isStale() const {
    if (!isOpen()) return false;
    const auto now = steady_clock::now();
    if (calls_.empty()) return now - lastReceivedAt_ > kMaxIdleTime;
    return now - calls_.front().startedAt > kMaxUnansweredTimeouts * callTimeout_;
}

bool CounterConnection::hasReportedAllCalls() const {
    return std::all_of(calls_.begin(), calls_.end(), [](const Call& call) { return call.hasTimedOut; });
}

// ---- Responses ------------------------------------------------------------------------------------

void CounterConnection::onConnected() {
    lastReceivedAt_ = steady_clock::now();
    observer_.onConnected(*this);
    writeHeldCalls();
}

void CounterConnection::onReceived() {
    using Progress = CounterResponseParser::Progress;
    lastReceivedAt_ = steady_clock::now();
    while (input().size() > 0) {
        const Progress progress = parser_.read(input());
        const bool isEnding = progress == Progress::incomplete && parser_.endsWithConnection();
        if (progress == Progress::incomplete && !isEnding) return;
        // Responses can't be matched with calls after a malformed response or a response without a call.
        if (progress == Progress::malformed || calls_.empty()) {
            onClosed();
            return;
        }
        if (isEnding) {
            observer_.onEnding(*this);
            return;
        }
        if (progress == Progress::interim) continue;
        if (!finishOldestCall(parser_.takeResponse())) return;
    }
}

void CounterConnection::onEndOfStream() {
    if (!calls_.empty() && parser_.completeAtEndOfStream()) finishOldestCall(parser_.takeResponse());
}

// Reports the oldest call as ended with this response. Returns false if the connection is then closed.
bool CounterConnection::finishOldestCall(const CounterResponse& response) {
    if (response.isOk && !response.total) {  // it is unknown whether the amount was added
        onClosed();
        return false;
    }
    const Call call = std::move(calls_.front());
    calls_.pop_front();
    if (!call.hasTimedOut)
        report(call, response.isOk ? Outcome::ok : Outcome::rejected, response.total.value_or(0));
    if (!isOpen()) return false;
    if (!response.keepAlive) onClosed();
    return response.keepAlive;
}

// Also called for an open connection that can't be used any further.
void CounterConnection::onClosed() {
    const bool wasConnected = isOpen() || bytesWritten() > 0;
    // Informs the observer first, because closeAndEndCalls() can cause new calls, which must use another
    // connection.
    observer_.onBroken(*this, wasConnected);
    closeAndEndCalls(Outcome::reset);
}

}  // namespace gateway::net
