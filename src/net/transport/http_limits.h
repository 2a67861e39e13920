// Size limits of the HTTP messages that the gateway receives.
#pragma once

#include <cstddef>
#include <cstdint>
#include <iterator>

namespace gateway::net {

// The limits of a client's request and of an endpoint's response.
constexpr std::size_t kMaxBodyBytes = 64UL * 1024;
constexpr std::uint32_t kMaxHeaderBytes = 16U * 1024;
constexpr std::size_t kMaxHeaderFields = 128;  // a parsed field takes far more memory than a short one's text

constexpr std::size_t kBytesPerParsedField = 128;  // of the parser, besides the field's text

// Returns whether the header has too many fields, as far as `parser` has read it.
template <class Parser>
bool hasTooManyFields(const Parser& parser) {
    const auto& fields = parser.get();
    return static_cast<std::size_t>(std::distance(fields.begin(), fields.end())) > kMaxHeaderFields;
}

// Returns the approximate memory of the message that `parser` has read so far.
template <class Parser>
std::size_t parsedMessageBytes(const Parser& parser) {
    const auto& message = parser.get();
    std::size_t bytes = message.body().capacity();
    for (const auto& field : message)
        bytes += kBytesPerParsedField + field.name_string().size() + field.value().size();
    return bytes;
}

// Returns whether the header that `parser` has read has a Content-Length of more than `maxBytes`. Returns
// false while the header is incomplete.
//
// Required in addition to the parser's body_limit: Beast 1.74 does not apply body_limit if the first bytes of
// the body arrive together with the end of the header.
template <class Parser>
bool hasContentLengthOver(const Parser& parser, std::uint64_t maxBytes) {
    if (!parser.is_header_done()) return false;
    const auto length = parser.content_length();
    return length && *length > maxBytes;
}

}  // namespace gateway::net
