#include "net/client/client_response.h"

#include <array>
#include <charconv>

namespace gateway::net {

namespace http = boost::beast::http;

namespace {

constexpr int kSecondsPrecision = 6;  // decimal places
constexpr std::size_t kMaxDecimalChars = 64;

void appendSeconds(std::string& text, Duration duration) {
    std::array<char, kMaxDecimalChars> chars{};
    const double seconds = std::chrono::duration<double>(duration).count();
    const auto end = std::to_chars(chars.data(), chars.data() + chars.size(), seconds,
                                   std::chars_format::fixed, kSecondsPrecision);
    text.append(chars.data(), end.ptr);
}

std::string_view reasonPhrase(http::status status) {
    const auto phrase = http::obsolete_reason(status);
    return {phrase.data(), phrase.size()};
}

}  // namespace

ClientResponse plainResponse(http::status status) {
    return {status, {}, "text/plain", reasonPhrase(status)};
}

void appendResponse(std::string& text, const ClientResponse& response, bool keepAlive) {
    text.append("HTTP/1.1 ").append(std::to_string(static_cast<unsigned>(response.status))).append(" ");
    text.append(reasonPhrase(response.status));
    if (!response.contentType.empty()) text.append("\r\nContent-Type: ").append(response.contentType);
    if (response.retryAfter > Duration::zero()) {
        text.append("\r\nRetry-After: ");
        appendSeconds(text, response.retryAfter);
    }
    if (response.status == http::status::method_not_allowed) text.append("\r\nAllow: GET, POST");
    text.append("\r\nContent-Length: ").append(std::to_string(response.body.size()));
    if (!keepAlive) text.append("\r\nConnection: close");
    text.append("\r\n\r\n").append(response.body);
}

}  // namespace gateway::net
