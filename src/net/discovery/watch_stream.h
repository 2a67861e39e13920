// One call to discovery.
#pragma once

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

#include "net/discovery/json_document_stream.h"
#include "net/transport/tcp_connection.h"

namespace gateway::net {

class WatchStream;

// Receives the events of watch streams, and knows what they should ask for.
class WatchStreamObserver {
public:
    virtual ~WatchStreamObserver() = default;

    // The version of the endpoint list that is known; a watch asks for the changes after it.
    virtual std::uint64_t knownVersion() const = 0;
    // Discovery's address, for the Host header.
    virtual const tcp::endpoint& address() const = 0;

    // The connection is established and the request written.
    virtual void onRequestSent(const WatchStream& stream) = 0;
    // The first bytes of a list were received. Called again if a list follows a silence.
    virtual void onListStarted(const WatchStream& stream) = 0;
    // The snapshot is complete, and the request for the changes after it was written on the same connection.
    virtual void onWatchRequestSent(const WatchStream& stream) = 0;
    // Nothing was received for kMaxSilence. With a list incomplete (`isListIncomplete`) the stream stays
    // open, as the rest may still come; otherwise it is closed.
    virtual void onSilent(const WatchStream& stream, bool isListIncomplete) = 0;
    // The stream ended: it broke, or its response is invalid.
    virtual void onEnded(const WatchStream& stream) = 0;

    // A complete list, or the changes since the document before. Throws if the document is invalid, which
    // ends the stream.
    virtual void onSnapshot(std::string_view document) = 0;
    virtual void onChanges(std::string_view document) = 0;
};

// Sends a request for the endpoint list and receives its documents until the connection ends. If a snapshot
// is needed, it is requested first, and then the changes after it, on the same connection: so they come in
// order.
class WatchStream final : public TcpConnection {
public:
    // `observer` and `timers` must outlive the stream while it is open. `needsSnapshot`: no version of the
    // list is known, so the complete list is requested.
    WatchStream(boost::asio::io_context& ioContext, WatchStreamObserver& observer, TimerQueue& timers,
                bool needsSnapshot);

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    void onConnected() override;
    void onReceived() override;
    void onClosed() override { observer_.onEnded(*this); }

    void sendRequest();
    bool readInput(error_code& ec);
    void readDocuments();
    bool finishSnapshot();
    void noteListStarted();
    void checkSilence();
    void end();

    WatchStreamObserver& observer_;
    TimerQueue& timers_;
    bool needsSnapshot_;
    bool isReceivingList_ = false;  // a list has started, and no silence has been noticed since
    bool hasSilenceTimer_ = false;  // checkSilence() will be called by a timer
    std::chrono::steady_clock::time_point lastReceivedAt_{};
    JsonDocumentStream documents_;
    std::optional<Parser> parser_;
};

}  // namespace gateway::net
