// A call to discovery that watches the endpoint list.
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

// Receives the events of watch streams, and gives them the data for their requests.
class WatchStreamObserver {
public:
    virtual ~WatchStreamObserver() = default;

    // Returns the version of the endpoint list that is known. A watch requests the changes since then.
    virtual std::uint64_t knownVersion() const = 0;
    // Returns discovery's address, for the Host header.
    virtual const tcp::endpoint& address() const = 0;

    // Called when the connection is established and the first request was written.
    virtual void onRequestSent(const WatchStream& stream) = 0;
    // Called when the first bytes of a response's body were received, and again when bytes follow a silence.
    virtual void onBodyStarted(const WatchStream& stream) = 0;
    // Called when the snapshot is complete and the request for the changes since then was written on the same
    // connection.
    virtual void onWatchRequestSent(const WatchStream& stream) = 0;
    // Called when nothing was received for kMaxSilence. If a list is incomplete (`isListIncomplete`), the
    // stream stays open, because the rest may still arrive. Otherwise the stream has been closed.
    virtual void onSilent(const WatchStream& stream, bool isListIncomplete) = 0;
    // Called when the stream has ended because its connection broke or its response is invalid.
    virtual void onEnded(const WatchStream& stream) = 0;

    // Called with a complete list, and with the changes since the previous document. Both throw if the
    // document is invalid, which ends the stream.
    virtual void onSnapshot(std::string_view document) = 0;
    virtual void onChanges(std::string_view document) = 0;
};

// Requests the changes of the endpoint list and receives them until the connection ends. If a snapshot is
// needed, requests it first, and then the changes since the snapshot on the same connection, so that they
// arrive in order.
class WatchStream final : public TcpConnection {
public:
    // `observer` and `timers` must be valid until the stream is closed. `needsSnapshot`: no version of the
    // list is known, so a snapshot must be requested.
    WatchStream(boost::asio::io_context& ioContext, WatchStreamObserver& observer, TimerQueue& timers,
                bool needsSnapshot);

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    void onConnected() override;
    void onReceived() override;
    void onEndOfStream() override;
    void onClosed() override { observer_.onEnded(*this); }

    void sendRequest();
    bool readResponse(error_code& ec);
    void readDocuments();
    bool finishSnapshot();
    void reportBodyStarted();
    void checkSilence();
    void end();

    WatchStreamObserver& observer_;
    TimerQueue& timers_;
    bool needsSnapshot_;
    bool isReceivingBody_ = false;  // a body has started, and no silence has been detected since
    bool hasSilenceTimer_ = false;  // a timer will call checkSilence()
    std::chrono::steady_clock::time_point lastReceivedAt_{};
    JsonDocumentStream documents_;
    std::optional<Parser> parser_;
};

}  // namespace gateway::net
