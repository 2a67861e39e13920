// Bounds of the HTTP messages that are taken in.
#pragma once

#include <cstddef>
#include <cstdint>

namespace gateway::net {

constexpr std::size_t kMaxBodyBytes = 64UL * 1024;     // of a client's request or an endpoint's response
constexpr std::uint32_t kMaxHeaderBytes = 16U * 1024;  // the same

// Beast 1.74 forgets a parser's body_limit where bytes of the body come together with the end of the head: 3
// GB would be taken in. What a head announces is checked here once more.
template <class Parser>
bool announcesBodyOver(const Parser& parser, std::uint64_t maxBytes) {
    if (!parser.is_header_done()) return false;
    const auto length = parser.content_length();
    return length && *length > maxBytes;
}

}  // namespace gateway::net
