// Parses clients' HTTP requests from a stream of bytes.
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

// Reads the requests of one connection, one after another, and records when each one arrived. Checks their
// framing and size; parseClientRequest() checks their contents.
class ClientRequestReader {
public:
    enum class Progress {
        incomplete,  // more bytes of the request must be received
        complete,    // call takeRequest()
        rejected,    // malformed or too large, see rejectionStatus(); the stream can't be read any further
    };

    ClientRequestReader() { reset(); }

    // Records that bytes were received at `now`. `unreadBytes` is the number of all bytes that were received
    // and have not been consumed by read().
    void recordReceived(std::size_t unreadBytes, TimePoint now) { arrivals_.recordArrival(unreadBytes, now); }

    // Continues to read the request, and consumes the bytes of `input` that belong to it. Preconditions:
    // `input` is not empty, and recordReceived() was called for its bytes.
    Progress read(boost::beast::flat_buffer& input, TimePoint now);

    // Returns the request that was read. Precondition: read() has returned `complete`, and takeRequest() has
    // not been called since.
    HttpRequest takeRequest();

    // Returns the status to answer with. Precondition: read() has returned `rejected`.
    boost::beast::http::status rejectionStatus() const { return rejectionStatus_; }

    // Discards what was read of an incomplete request. The stream can't be read any further.
    void discard() { reset(); }

    // Returns the approximate memory of the incomplete request.
    std::size_t heldBytes() const { return heldBytes_; }

    // Returns whether a part of a request was read and the rest has not been received.
    bool isPartial() const { return isPartial_; }

    // Returns whether the client asked for a response 100 Continue before it sends the rest of the request.
    // True only for a chunked body, after a part of the header of a chunk was received.
    bool expectsContinue() const { return expectsContinue_; }

    // Returns when the first byte of the latest request was received.
    TimePoint receivedAt() const { return receivedAt_; }

    // Returns when read() was first called for the latest request. This is later than receivedAt() for a
    // pipelined request.
    TimePoint readingStartedAt() const { return readingStartedAt_; }

private:
    void reset();

    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser_;
    ArrivalLog arrivals_;
    TimePoint receivedAt_{};
    TimePoint readingStartedAt_{};
    boost::beast::http::status rejectionStatus_ = boost::beast::http::status::bad_request;
    std::size_t heldBytes_ = 0;
    bool isPartial_ = false;
    bool expectsContinue_ = false;
};

}  // namespace gateway::net
