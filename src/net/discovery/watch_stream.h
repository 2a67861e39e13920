// One call to discovery: asks for the list, and then takes in its changes as they come.
#pragma once

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string_view>

#include "net/discovery/json_stream.h"
#include "net/transport/tcp_connection.h"

namespace gateway::net {

class WatchStream final : public TcpConnection {
public:
    // What a stream needs of the client that it belongs to.
    class Owner {
    public:
        Owner() = default;
        Owner(const Owner&) = delete;
        Owner& operator=(const Owner&) = delete;
        virtual ~Owner() = default;

        // The version of the list that is known; changes after it are asked for.
        virtual std::uint64_t knownVersion() const = 0;
        virtual const tcp::endpoint& address() const = 0;
        // The connection is up and the request written.
        virtual void onRequested(const WatchStream& stream) = 0;
        // The first bytes of a list have come.
        virtual void onAnswering(const WatchStream& stream) = 0;
        // It has brought its snapshot and asks for what comes behind that.
        virtual void onRequestedAgain(const WatchStream& stream) = 0;
        // Nothing came for a while. `amidList`: part of a list is here, and the stream stays open.
        virtual void onSilent(const WatchStream& stream, bool amidList) = 0;
        // The stream is over.
        virtual void onEnded(const WatchStream& stream) = 0;
        // A document of discovery's. Throws where it can't be read, which ends the stream.
        virtual void onSnapshot(std::string_view text) = 0;
        virtual void onDelta(std::string_view text) = 0;
    };

    // `owner` and `timers` must outlive the stream's being open. `needsSnapshot`: no version is known.
    WatchStream(boost::asio::io_context& io, Owner& owner, TimerQueue& timers, bool needsSnapshot);

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    void onConnected() override;
    void onReceived() override;
    void onClosed() override { owner_.onEnded(*this); }

    void sendRequest();
    bool takeBytes(error_code& ec);
    bool finishSnapshot();
    void noteAnswering();
    void checkSilence();
    void takeDocuments();
    void end();

    Owner& owner_;
    TimerQueue& timers_;
    bool needsSnapshot_;
    bool answering_ = false;        // a list has begun to come, and goes on
    bool checkingSilence_ = false;  // by a timer
    std::chrono::steady_clock::time_point heardAt_{};
    JsonStream documents_;
    std::optional<Parser> parser_;
};

}  // namespace gateway::net
