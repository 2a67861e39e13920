// Responses to clients, and their HTTP encoding.
#pragma once

#include <boost/beast/http/status.hpp>
#include <string>
#include <string_view>

#include "gateway/types.h"

namespace gateway::net {

// A response to a client. Does not own its strings, which must outlive it.
struct ClientResponse {
    boost::beast::http::status status = boost::beast::http::status::ok;
    Duration retryAfter{};  // time until the client should retry; 0: no Retry-After header
    std::string_view contentType;
    std::string_view body;
};

// Returns a response whose body is the reason phrase of its status.
ClientResponse plainResponse(boost::beast::http::status status);

// Appends the response to `text` as an HTTP/1.1 message. `keepAlive`: the connection stays open after it.
void appendResponse(std::string& text, const ClientResponse& response, bool keepAlive);

}  // namespace gateway::net
