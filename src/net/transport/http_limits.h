// Size limits of the HTTP messages that the gateway receives.
#pragma once

#include <cstddef>
#include <cstdint>

namespace gateway::net {

// The limits of a client's request and of an endpoint's response.
constexpr std::size_t kMaxBodyBytes = 64UL * 1024;
constexpr std::uint32_t kMaxHeaderBytes = 16U * 1024;

// Returns whether the header that `parser` has read has a Content-Length of more than `maxBytes`. Returns
// false while the header is incomplete.
//
// Required in addition to the parser's body_limit: Beast 1.74 does not apply body_limit if the first bytes of
// the body arrive together with the end of the header.
template <class Parser>
bool announcesBodyOver(const Parser& parser, std::uint64_t maxBytes) {
    if (!parser.is_header_done()) return false;
    const auto length = parser.content_length();
    return length && *length > maxBytes;
}

}  // namespace gateway::net
