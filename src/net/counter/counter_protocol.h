// The counter service's HTTP messages. This is the only place that knows their form.
#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "gateway/actions.h"

namespace gateway::net {

// Appends the HTTP request of a call to `text`. `host` is the counter's address, for the Host header. The
// time to live is rounded up to whole milliseconds, 1 ms at least.
void appendCounterCall(std::string& text, const AddToCounter& call, std::string_view host);

// Returns the total in the body of a response: one finite decimal number, which white space may follow.
// Returns nothing for any other body.
std::optional<double> parseCounterTotal(std::string_view body);

// A final response of the counter.
struct CounterResponse {
    bool isOk = false;            // status 200: the amount was added
    std::optional<double> total;  // absent where the body is not a total
    bool keepsAlive = false;      // the connection stays open after this response
};

// Reads pipelined responses out of a stream of bytes, one after another.
class CounterResponseParser {
public:
    enum class Progress {
        incomplete,  // the response goes on in bytes that have not been received
        interim,     // a 1xx response was read; the final one follows
        complete,    // a final response was read: call takeResponse()
        malformed,   // nothing more can be read from this stream
    };

    CounterResponseParser() { reset(); }

    // Reads on and consumes the bytes that belong to the response. `input` must not be empty.
    Progress read(boost::beast::flat_buffer& input);

    // Returns the response that was read. Precondition: read() has returned `complete`, and takeResponse()
    // has not been called since.
    CounterResponse takeResponse();

private:
    void reset();

    std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> parser_;
};

}  // namespace gateway::net
