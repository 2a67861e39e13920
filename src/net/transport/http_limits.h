// Size limits of the HTTP messages that the gateway receives.
#pragma once

#include <cstddef>
#include <cstdint>

namespace gateway::net {

// Of a client's request or an endpoint's response.
constexpr std::size_t kMaxBodyBytes = 64UL * 1024;
constexpr std::uint32_t kMaxHeaderBytes = 16U * 1024;

// Returns whether the head that `parser` has read announces a body of more than `maxBytes`. False while the
// head is incomplete.
//
// Must be checked beside the parser's body_limit: Beast 1.74 does not apply it to a body whose first bytes
// come together with the end of the head.
template <class Parser>
bool announcesBodyOver(const Parser& parser, std::uint64_t maxBytes) {
    if (!parser.is_header_done()) return false;
    const auto length = parser.content_length();
    return length && *length > maxBytes;
}

}  // namespace gateway::net
