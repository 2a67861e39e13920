// What clients are answered, and its form on the wire.
#pragma once

#include <string>
#include <string_view>

#include "gateway/types.h"

namespace gateway::net {

struct ClientResponse {
    int status = 200;
    Duration retryAfter{};  // when to come back; 0: no advice
    std::string_view contentType;
    std::string_view body;
};

// The reason phrase of a status, "Unknown" for one that is never sent.
std::string_view reasonPhrase(int status);

// A response that says nothing but its status.
ClientResponse plainResponse(int status);

// Appends the response as HTTP/1.1. `keepAlive`: the connection stays open behind it.
void appendResponse(std::string& text, const ClientResponse& response, bool keepAlive);

}  // namespace gateway::net
