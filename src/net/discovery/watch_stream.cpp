#include "net/discovery/watch_stream.h"

#include <sstream>

#include "net/discovery/discovery_schedule.h"
#include "net/transport/response_framing.h"

namespace gateway::net {

namespace http = boost::beast::http;
using std::chrono::steady_clock;

namespace {

constexpr std::size_t kMaxListBytes = 4UL * 1024 * 1024;

}  // namespace

WatchStream::WatchStream(boost::asio::io_context& ioContext, WatchStreamObserver& observer,
                         TimerQueue& timers, bool needsSnapshot)
    : TcpConnection(ioContext), observer_(observer), timers_(timers), needsSnapshot_(needsSnapshot) {}

// ---- Requests -------------------------------------------------------------------------------------

void WatchStream::onConnected() {
    sendRequest();
    observer_.onRequestSent(*this);
}

void WatchStream::sendRequest() {
    parser_.emplace();
    parser_->body_limit(boost::none);  // a watch is endless; readDocuments() removes its documents
    parser_->eager(true);
    std::ostringstream request;
    request << "GET /api/targets";
    if (!needsSnapshot_) request << "?follow=1&since=" << observer_.knownVersion();
    request << " HTTP/1.1\r\nHost: " << observer_.address() << "\r\n\r\n";
    send(request.str());
}

// ---- Responses ------------------------------------------------------------------------------------

void WatchStream::onReceived() {
    lastReceivedAt_ = steady_clock::now();
    while (input().size() > 0) {
        const std::size_t sizeBefore = input().size();
        error_code ec;
        const bool continues = readResponse(ec);
        if (!continues || ec == http::error::need_more) return;
        if (!ec && parser_->is_done() && needsSnapshot_) {
            if (!finishSnapshot()) return;
            continue;
        }
        if (ec || parser_->is_done()) {
            end();
            return;
        }
        if (input().size() == sizeBefore) return;
    }
}

// Documents of a watch were passed to the observer as they were complete.
void WatchStream::onEndOfStream() {
    if (needsSnapshot_ && parser_ && completeAtEndOfStream(*parser_)) finishSnapshot();
}

// Continues to read the response, and passes the documents of a watch to the observer. Returns false if the
// stream has ended. Otherwise sets `ec` to the parser's result.
bool WatchStream::readResponse(error_code& ec) {
    const std::size_t used = parser_->put(input().data(), ec);
    input().consume(used);
    if (!parser_->is_header_done()) return true;
    if (parser_->get().result() != http::status::ok) {
        end();
        return false;
    }
    const auto& body = parser_->get().body();
    if (!body.empty()) reportBodyStarted();
    if (!needsSnapshot_) readDocuments();
    if (body.size() + documents_.pendingBytes() > kMaxListBytes) {
        end();
        return false;
    }
    return isOpen();
}

// Discovery sends empty lines between the documents to show that the watch is alive. documents_ skips them.
void WatchStream::readDocuments() {
    documents_.append(parser_->get().body(),
                      [this](std::string_view document) { observer_.onChanges(document); });
    parser_->get().body().clear();
}

// Passes the snapshot to the observer and requests the changes since then. Returns false if the stream has
// ended.
bool WatchStream::finishSnapshot() {
    observer_.onSnapshot(parser_->get().body());
    needsSnapshot_ = false;
    if (!parser_->keep_alive()) {
        end();
        return false;
    }
    sendRequest();
    isReceivingBody_ = false;
    observer_.onWatchRequestSent(*this);
    return true;
}

// ---- Silence --------------------------------------------------------------------------------------

// Called when bytes of the body have been received. A status line or a header is no sign that the list will
// follow soon.
void WatchStream::reportBodyStarted() {
    if (isReceivingBody_) return;
    isReceivingBody_ = true;
    observer_.onBodyStarted(*this);
    if (!hasSilenceTimer_) checkSilence();
}

// Reports a stream that has been silent for kMaxSilence, since its connection may be dead and changes may be
// lost. Closes it unless a list is incomplete. The silence is measured from the last byte, because
// kUpdateDeadline is as well.
void WatchStream::checkSilence() {
    hasSilenceTimer_ = false;
    if (!isReceivingBody_) return;
    const auto silence = steady_clock::now() - lastReceivedAt_;
    if (silence >= kMaxSilence) {
        isReceivingBody_ = false;
        const bool isListIncomplete = needsSnapshot_ || documents_.pendingBytes() > 0;
        if (!isListIncomplete) close();
        observer_.onSilent(*this, isListIncomplete);
        return;
    }
    hasSilenceTimer_ = true;
    timers_.schedule(std::chrono::duration_cast<Duration>(kMaxSilence - silence), [weak = weak_from_this()] {
        const auto stream = std::static_pointer_cast<WatchStream>(weak.lock());
        if (stream && stream->isOpen()) stream->checkSilence();
    });
}

void WatchStream::end() {
    close();
    observer_.onEnded(*this);
}

}  // namespace gateway::net
