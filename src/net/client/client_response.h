// Responses to clients, and their form on the wire.
#pragma once

#include <boost/beast/http/status.hpp>
#include <string>
#include <string_view>

#include "gateway/types.h"

namespace gateway::net {

// A response to a client. The texts must outlive it.
struct ClientResponse {
    boost::beast::http::status status = boost::beast::http::status::ok;
    Duration retryAfter{};  // when the client should come back; 0: no advice
    std::string_view contentType;
    std::string_view body;
};

// Returns a response whose body is the reason phrase of its status.
ClientResponse plainResponse(boost::beast::http::status status);

// Appends the response as an HTTP/1.1 message. `keepAlive`: the connection stays open after it.
void appendResponse(std::string& text, const ClientResponse& response, bool keepAlive);

}  // namespace gateway::net
