// Encoding and decoding of the counter service's HTTP messages.
#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "gateway/actions.h"

namespace gateway::net {

// Appends the HTTP request for a call to `text`. `host` is the value of the Host header. Rounds the time to
// live up to whole milliseconds, and to at least 1 ms.
void appendCounterCall(std::string& text, const AddToCounter& call, std::string_view host);

// Returns the total in the body of a response, or nothing if the body is not one finite decimal number,
// optionally followed by white space.
std::optional<double> parseCounterTotal(std::string_view body);

// A final response of the counter.
struct CounterResponse {
    bool isOk = false;            // status 200: the amount was added
    std::optional<double> total;  // absent if the body is not a valid total
    bool keepAlive = false;       // the connection stays open after this response
};

// Parses pipelined responses from a stream of bytes, one after another.
class CounterResponseParser {
public:
    enum class Progress {
        incomplete,  // more bytes of the response must be received
        interim,     // a 1xx response was read; the final one follows
        complete,    // a final response was read: call takeResponse()
        malformed,   // the stream can't be read any further
    };

    CounterResponseParser() { reset(); }

    // Continues to read the response, and consumes the bytes of `input` that belong to it. Precondition:
    // `input` is not empty.
    Progress read(boost::beast::flat_buffer& input);

    // Returns whether the response that is being read ends with the connection, so that no other follows it.
    bool endsWithConnection() const;

    // Completes a response that ends with the connection. Call it when the counter has closed the connection
    // in order. Returns whether the response is complete now.
    bool completeAtEndOfStream();

    // Returns the response that was read. Precondition: read() has returned `complete` or
    // completeAtEndOfStream() true, and takeResponse() has not been called since.
    CounterResponse takeResponse();

private:
    void reset();

    std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> parser_;
};

}  // namespace gateway::net
