// Reads clients' HTTP requests out of a stream of bytes.
#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <optional>

#include "gateway/types.h"
#include "net/client/arrival_log.h"
#include "net/client/client_request.h"

namespace gateway::net {

// Reads the requests of one connection, one after another, and keeps when each one arrived. Checks their
// framing and size; parseClientRequest() checks the rest.
class ClientRequestReader {
public:
    enum class Progress {
        incomplete,  // the request goes on in bytes that have not been received
        complete,    // call takeRequest()
        rejected,    // malformed or too large, see rejection(); the stream can't be read any further
    };

    ClientRequestReader() { reset(); }

    // Notes that bytes were received at `now`. `unreadBytes`: all that were received and not read.
    void noteReceived(std::size_t unreadBytes, TimePoint now) { arrivals_.noteArrival(unreadBytes, now); }

    // Reads on and consumes the bytes that belong to the request. Precondition: `input` is not empty, and
    // what is in it was noted by noteReceived().
    Progress read(boost::beast::flat_buffer& input, TimePoint now);

    // Returns the request that was read. Precondition: read() has returned `complete`, and takeRequest() has
    // not been called since.
    HttpRequest takeRequest();

    // The status to answer with. Precondition: read() has returned `rejected`.
    boost::beast::http::status rejection() const { return rejection_; }

    // A part of a request was read, and no more of it has been received.
    bool isPartial() const { return isPartial_; }

    // The client waits for 100 Continue before it sends the rest of the request.
    bool expectsContinue() const { return expectsContinue_; }

    // When the first byte of the latest request was received.
    TimePoint receivedAt() const { return receivedAt_; }

    // When read() was first called for the latest request. Later than receivedAt() for a pipelined request.
    TimePoint startedAt() const { return startedAt_; }

private:
    void reset();

    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser_;
    ArrivalLog arrivals_;
    TimePoint receivedAt_{};
    TimePoint startedAt_{};
    boost::beast::http::status rejection_ = boost::beast::http::status::bad_request;
    bool isPartial_ = false;
    bool expectsContinue_ = false;
};

}  // namespace gateway::net
