#include "net/counter/counter_connection.h"

#include <algorithm>
#include <utility>

#include "net/counter/counter_protocol.h"
#include "net/transport/http_limits.h"

namespace gateway::net {

namespace http = boost::beast::http;
using std::chrono::steady_clock;

namespace {

constexpr Duration kMaxIdleTime = std::chrono::seconds(3);  // the counter closes after about 10 s or less
// Time-outs that a call goes unanswered; then its connection is taken for dead, with what is added over it.
constexpr int kMaxSilentTimeouts = 4;
constexpr std::uint64_t kMaxReplyBytes = 4096;
constexpr int kOk = 200;
constexpr int kFirstFinalStatus = 200;

}  // namespace

CounterConnection::CounterConnection(boost::asio::io_context& io, Owner& owner, TimerQueue& timers,
                                     std::size_t lane, Duration callTimeout)
    : TcpConnection(io), owner_(owner), timers_(timers), lane_(lane), callTimeout_(callTimeout) {
    resetParser();
}

// ---- Calls ----------------------------------------------------------------------------------------

void CounterConnection::call(const AddToCounter& add, std::string_view host) {
    Call call;
    call.number = nextNumber_++;
    call.name = add.name;
    call.began = steady_clock::now();
    std::string text;
    appendCounterCall(text, add, host);
    // Held back until the connection is up: a call that timed out before must never go out.
    if (isOpen() && owner_.mayWrite(*this))
        write(call, text);
    else
        call.unwritten = std::move(text);
    call.timer = timers_.after(callTimeout_, [this, weak = weak_from_this(), number = call.number] {
        if (const auto self = weak.lock()) expire(number);
    });
    calls_.push_back(std::move(call));
}

void CounterConnection::write(Call& call, const std::string& text) {
    queue(text);
    queuedBytes_ += text.size();
    call.lastByte = queuedBytes_;
}

void CounterConnection::release() {
    if (!isOpen() || !owner_.mayWrite(*this)) return;
    for (Call& call : calls_)
        if (call.lastByte == 0) write(call, std::exchange(call.unwritten, {}));
    flush();
}

void CounterConnection::expire(std::uint64_t number) {
    const auto found =
        std::find_if(calls_.begin(), calls_.end(), [&](const Call& call) { return call.number >= number; });
    if (found == calls_.end() || found->number != number || found->reported) return;
    if (found->lastByte == 0) {  // never handed over, so it never will be
        const Call call = std::move(*found);
        calls_.erase(found);
        return report(call, Outcome::connectFailed, 0);
    }
    found->reported = true;
    report(*found, Outcome::timedOut, 0);
}

void CounterConnection::report(const Call& call, Outcome outcome, double total) {
    timers_.cancel(call.timer);
    CounterReplied reply;
    reply.name = call.name;
    reply.outcome = outcome;
    reply.total = total;
    reply.elapsed = std::chrono::duration_cast<Duration>(steady_clock::now() - call.began);
    owner_.onReply(*this, std::move(reply));
}

void CounterConnection::failAll(Outcome sentOutcome) {
    close();
    for (std::deque<Call> calls = std::exchange(calls_, {}); const Call& call : calls) {
        // Nothing was added unless the call's last byte went out.
        if (!call.reported) report(call, isWritten(call) ? sentOutcome : Outcome::connectFailed, 0);
    }
}

bool CounterConnection::isStale() const {
    if (!isOpen()) return false;
    const auto now = steady_clock::now();
    if (calls_.empty()) return now - heardAt_ > kMaxIdleTime;
    return now - calls_.front().began > kMaxSilentTimeouts * callTimeout_;
}

bool CounterConnection::isIdle() const {
    return std::all_of(calls_.begin(), calls_.end(), [](const Call& call) { return call.reported; });
}

// ---- Replies --------------------------------------------------------------------------------------

void CounterConnection::resetParser() {
    parser_.emplace();
    parser_->body_limit(kMaxReplyBytes);
    parser_->eager(true);
}

void CounterConnection::onConnected() {
    heardAt_ = steady_clock::now();
    owner_.onConnected(*this);
    release();
}

void CounterConnection::onReceived() {
    heardAt_ = steady_clock::now();
    while (input().size() > 0) {
        error_code ec;
        input().consume(parser_->put(input().data(), ec));
        if (ec == http::error::need_more) return;
        // Unreadable: what it answers was added, and of what stands behind it nothing will be reported.
        if (announcesBodyOver(*parser_, kMaxReplyBytes)) return onClosed();
        if (ec || parser_->need_eof() || (parser_->is_done() && calls_.empty())) return onClosed();
        if (!parser_->is_done()) return;
        if (static_cast<int>(parser_->get().result_int()) < kFirstFinalStatus) {
            resetParser();  // an interim response; the real one follows
            continue;
        }
        if (!takeReply()) return;
    }
}

// Takes in the reply that the parser holds; false where the connection is over.
bool CounterConnection::takeReply() {
    const int status = static_cast<int>(parser_->get().result_int());
    const std::string body = std::move(parser_->get().body());
    const bool stays = parser_->keep_alive();
    resetParser();
    const auto total = parseCounterTotal(body);
    const bool hasTotal = std::holds_alternative<double>(total);
    if (status == kOk && !hasTotal) {  // what came of the call is not known
        onClosed();
        return false;
    }
    const Call call = std::move(calls_.front());
    calls_.pop_front();
    // A reply after the time-out has been reported already; it is only taken off the line.
    if (!call.reported)
        report(call, status == kOk ? Outcome::ok : Outcome::rejected, hasTotal ? std::get<double>(total) : 0);
    if (!isOpen()) return false;
    if (!stays) onClosed();
    return stays;
}

void CounterConnection::onClosed() {
    const bool wasUp = isOpen() || written() > 0;
    // First out of its lane: what is reported now can cause calls at once, and those must not be made here.
    owner_.onBroken(*this, wasUp);
    failAll(Outcome::reset);
}

}  // namespace gateway::net
