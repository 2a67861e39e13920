#include "net/discovery/discovery_client.h"

#include <algorithm>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <iostream>
#include <optional>
#include <sstream>
#include <utility>

#include "net/discovery/json_stream.h"

namespace gateway::net {

namespace http = boost::beast::http;

namespace {

// Ended before only by a newer call: one that comes up late is a call that is not answered yet. The bound is
// for the handlers, past the life of any call.
constexpr Duration kConnectTimeout = std::chrono::seconds(10);
constexpr std::size_t kMaxPendingCalls = 2;
constexpr std::size_t kMaxBodyBytes = 4 * 1024 * 1024;

}  // namespace

class WatchStream final : public TcpConnection {
public:
    WatchStream(boost::asio::io_context& io, DiscoveryClient& watch)
        : TcpConnection(io), watch_(watch), wholeFirst_(watch.needsWhole_) {}

private:
    void opened() override {
        ask();
        watch_.opened(*this);
    }

    // From the first byte of a list on. A live watch says something every 2 s. One that says nothing may have
    // been cut off with its changes: another is opened. What a silent one misses counts from its last word,
    // so its time runs from there.
    void listen() {
        listening_ = false;
        if (!onReply_) return;
        const auto silent = std::chrono::steady_clock::now() - heardAt_;
        if (silent >= kMaxSilence) {
            onReply_ = false;
            // Between two objects nothing is lost with the connection; amid one, the rest may yet come.
            const bool amidList = wholeFirst_ || objects_.held() > 0;
            if (!amidList) close();
            return watch_.fellSilent(*this, amidList);
        }
        listening_ = true;
        watch_.timers_.after(std::chrono::duration_cast<Duration>(kMaxSilence - silent),
                             [weak = weak_from_this()] {
                                 const auto self = std::static_pointer_cast<WatchStream>(weak.lock());
                                 if (self && self->isOpen()) self->listen();
                             });
    }

    // A status line or a head alone brings nothing: a list behind it may take as long as it would without.
    void heardBody() {
        if (std::exchange(onReply_, true)) return;
        watch_.answers(*this);
        if (!listening_) listen();
    }

    // The whole list by a request of its own, then the watch from its version, on the same connection: the
    // changes come in order behind it.
    void ask() {
        parser_.emplace();
        parser_->body_limit(boost::none);  // a watch lasts; its objects are taken out as they come
        parser_->eager(true);
        std::ostringstream request;
        request << "GET /api/targets";
        if (!wholeFirst_) request << "?follow=1&since=" << watch_.since_;
        request << " HTTP/1.1\r\nHost: " << watch_.address_ << "\r\n\r\n";
        send(request.str());
    }

    void received() override {
        heardAt_ = std::chrono::steady_clock::now();
        while (input().size() > 0) {
            error_code ec;
            const std::size_t used = parser_->put(input().data(), ec);
            input().consume(used);
            if (parser_->is_header_done()) {
                if (parser_->get().result_int() != 200) return over();
                if (!parser_->get().body().empty()) heardBody();
                if (!wholeFirst_) takeObjects();
                if (parser_->get().body().size() + objects_.held() > kMaxBodyBytes) return over();
                if (!isOpen()) return;
            }
            if (ec == http::error::need_more) return;
            if (!ec && parser_->is_done() && wholeFirst_) {
                watch_.whole(parser_->get().body());
                wholeFirst_ = false;
                if (!parser_->keep_alive()) return over();
                ask();
                onReply_ = false;
                watch_.asksAgain(*this);
                continue;
            }
            if (ec || parser_->is_done()) return over();
            if (used == 0) return;
        }
    }

    // What stands between the objects only shows that the watch lives.
    void takeObjects() {
        objects_.put(parser_->get().body(), [this](std::string_view text) { watch_.take(text, false); });
        parser_->get().body().clear();
    }

    void over() {
        close();
        watch_.over(*this);
    }
    void ended() override { watch_.over(*this); }

    DiscoveryClient& watch_;
    bool wholeFirst_;
    bool onReply_ = false;    // and goes on being answered
    bool listening_ = false;  // a timer looks at how long it has been silent
    std::chrono::steady_clock::time_point heardAt_{};
    JsonStream objects_;
    std::optional<http::response_parser<http::string_body>> parser_;
};

DiscoveryClient::DiscoveryClient(boost::asio::io_context& io, TimerQueue& timers, const Clock& clock,
                                 const tcp::endpoint& address, EndpointNames names, std::uint64_t since,
                                 const PollSchedule& schedule, ReclaimDescriptor reclaimDescriptor,
                                 UpdateHandler told)
    : io_(io),
      timers_(timers),
      clock_(clock),
      address_(address),
      names_(std::move(names)),
      since_(since),
      schedule_(schedule),
      reclaimDescriptor_(std::move(reclaimDescriptor)),
      onUpdate_(std::move(told)) {}
DiscoveryClient::~DiscoveryClient() = default;

// The next call is set at once: whatever becomes of this one, only an answer takes it back.
void DiscoveryClient::call() {
    if (stopped_) return;
    if (waiting_.size() >= kMaxPendingCalls) {
        waiting_.front()->close();
        waiting_.erase(waiting_.begin());
    }
    const ConnectionPtr link = std::make_shared<WatchStream>(io_, *this);
    waiting_.push_back(link);
    callIn(schedule_.afterBegin(clock_.now()));
    link->connect(address_, timers_, kConnectTimeout, reclaimDescriptor_);
}

void DiscoveryClient::callIn(Duration wait) {
    timers_.cancel(next_);
    next_ = timers_.after(wait, [this] { call(); });
}

void DiscoveryClient::closeAll() {
    if (const ConnectionPtr watch = std::exchange(watch_, nullptr)) watch->close();
    for (const ConnectionPtr& link : std::exchange(waiting_, {})) link->close();
}

void DiscoveryClient::stop() {
    stopped_ = true;
    timers_.cancel(next_);
    closeAll();
}

void DiscoveryClient::move(const tcp::endpoint& address) {
    if (stopped_ || address == address_) return;
    address_ = address;
    needsWhole_ = true;
    closeAll();
    const Duration wait = schedule_.afterReload(clock_.now());
    if (wait > Duration::zero()) return callIn(wait);
    call();
}

bool DiscoveryClient::isNewest(const WatchStream& link) const {
    return !waiting_.empty() && waiting_.back().get() == &link;
}

void DiscoveryClient::opened(const WatchStream& link) {
    if (isNewest(link)) callIn(schedule_.afterRequest(clock_.now()));
}

void DiscoveryClient::answers(const WatchStream& link) {
    timers_.cancel(next_);
    for (const ConnectionPtr& waiting : std::exchange(waiting_, {})) {
        if (waiting.get() == &link)
            watch_ = waiting;
        else
            waiting->close();
    }
}

// It has brought its whole list and is asked for what comes behind that.
void DiscoveryClient::asksAgain(const WatchStream& link) {
    if (watch_.get() != &link) return;
    waiting_.push_back(std::exchange(watch_, nullptr));
    callIn(schedule_.afterRequest(clock_.now()));
}

void DiscoveryClient::fellSilent(const WatchStream& link, bool amidList) {
    if (watch_.get() != &link) return;
    const ConnectionPtr silent = std::exchange(watch_, nullptr);
    if (amidList) waiting_.push_back(silent);
    callIn(schedule_.afterSilence(clock_.now()));
}

void DiscoveryClient::over(const WatchStream& link) {
    const bool wasWatch = watch_.get() == &link, wasNewest = isNewest(link);
    if (wasWatch) watch_ = nullptr;
    std::erase_if(waiting_, [&](const ConnectionPtr& waiting) { return waiting.get() == &link; });
    // Behind an older one the next call is set already.
    if (!stopped_ && (wasWatch || wasNewest))
        callIn(link.lacksDescriptor() ? schedule_.afterShortage() : schedule_.afterEnd(clock_.now()));
}

void DiscoveryClient::whole(std::string_view text) {
    take(text, true);
    needsWhole_ = false;
}

void DiscoveryClient::take(std::string_view text, bool whole) {
    EndpointList list;
    try {
        const json document = json::parse(text);
        list = readEndpointList(Fields(document, "targets"), names_);
    } catch (const std::exception& e) {
        std::cerr << "gateway: discovery: " << e.what() << '\n';
        throw;  // ends the connection; the next watch asks again from the last good version
    }
    since_ = list.index;
    schedule_.answered();
    list.full = list.full || whole;
    onUpdate_(list);
}

}  // namespace gateway::net
