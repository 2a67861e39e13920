#include "net/discovery/watch_stream.h"

#include <sstream>
#include <utility>

#include "net/discovery/poll_schedule.h"

namespace gateway::net {

namespace http = boost::beast::http;
using std::chrono::steady_clock;

namespace {

constexpr std::size_t kMaxListBytes = 4UL * 1024 * 1024;
constexpr unsigned kOk = 200;

}  // namespace

WatchStream::WatchStream(boost::asio::io_context& io, Owner& owner, TimerQueue& timers, bool needsSnapshot)
    : TcpConnection(io), owner_(owner), timers_(timers), needsSnapshot_(needsSnapshot) {}

void WatchStream::onConnected() {
    sendRequest();
    owner_.onRequested(*this);
}

// The snapshot by a request of its own, then the watch from its version, on the same connection: the changes
// come in order behind it.
void WatchStream::sendRequest() {
    parser_.emplace();
    parser_->body_limit(boost::none);  // a watch lasts; its documents are taken out as they come
    parser_->eager(true);
    std::ostringstream request;
    request << "GET /api/targets";
    if (!needsSnapshot_) request << "?follow=1&since=" << owner_.knownVersion();
    request << " HTTP/1.1\r\nHost: " << owner_.address() << "\r\n\r\n";
    send(request.str());
}

void WatchStream::onReceived() {
    heardAt_ = steady_clock::now();
    while (input().size() > 0) {
        error_code ec;
        const std::size_t before = input().size();
        if (!takeBytes(ec)) return;
        if (ec == http::error::need_more) return;
        if (!ec && parser_->is_done() && needsSnapshot_) {
            if (!finishSnapshot()) return;
            continue;
        }
        if (ec || parser_->is_done()) return end();
        if (input().size() == before) return;
    }
}

// Parses what has come and takes out whole documents; false where the stream is over.
bool WatchStream::takeBytes(error_code& ec) {
    const std::size_t used = parser_->put(input().data(), ec);
    input().consume(used);
    if (!parser_->is_header_done()) return true;
    const auto& body = parser_->get().body();
    if (parser_->get().result_int() != kOk) {
        end();
        return false;
    }
    if (!body.empty()) noteAnswering();
    if (!needsSnapshot_) takeDocuments();
    if (body.size() + documents_.held() > kMaxListBytes) {
        end();
        return false;
    }
    return isOpen();
}

bool WatchStream::finishSnapshot() {
    owner_.onSnapshot(parser_->get().body());
    needsSnapshot_ = false;
    if (!parser_->keep_alive()) {
        end();
        return false;
    }
    sendRequest();
    answering_ = false;
    owner_.onRequestedAgain(*this);
    return true;
}

// A status line or a head alone brings nothing: a list behind it may take as long as it would without.
void WatchStream::noteAnswering() {
    if (std::exchange(answering_, true)) return;
    owner_.onAnswering(*this);
    if (!checkingSilence_) checkSilence();
}

// From the first byte of a list on. A live watch says something every 2 s. One that says nothing may have
// been cut off with its changes: another is opened. What a silent one misses counts from its last word, so
// its time runs from there.
void WatchStream::checkSilence() {
    checkingSilence_ = false;
    if (!answering_) return;
    const auto silence = steady_clock::now() - heardAt_;
    if (silence >= kMaxSilence) {
        answering_ = false;
        // Between two documents nothing is lost with the connection; amid one, the rest may yet come.
        const bool amidList = needsSnapshot_ || documents_.held() > 0;
        if (!amidList) close();
        return owner_.onSilent(*this, amidList);
    }
    checkingSilence_ = true;
    timers_.after(std::chrono::duration_cast<Duration>(kMaxSilence - silence), [weak = weak_from_this()] {
        const auto stream = std::static_pointer_cast<WatchStream>(weak.lock());
        if (stream && stream->isOpen()) stream->checkSilence();
    });
}

// What stands between the documents only shows that the watch lives.
void WatchStream::takeDocuments() {
    documents_.put(parser_->get().body(), [this](std::string_view text) { owner_.onDelta(text); });
    parser_->get().body().clear();
}

void WatchStream::end() {
    close();
    owner_.onEnded(*this);
}

}  // namespace gateway::net
