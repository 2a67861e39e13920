#include "net/client/client_response.h"

#include <array>
#include <charconv>

namespace gateway::net {
namespace {

constexpr int kMethodNotAllowed = 405;
constexpr int kSecondsPrecision = 6;  // digits behind the point
constexpr std::size_t kMaxDigits = 64;

void appendSeconds(std::string& text, Duration duration) {
    std::array<char, kMaxDigits> digits{};
    const double seconds = static_cast<double>(duration.count()) / 1e6;
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), seconds,
                                   std::chars_format::fixed, kSecondsPrecision);
    text.append(digits.data(), end.ptr);
}

}  // namespace

std::string_view reasonPhrase(int status) {
    switch (status) {
        case 200:
            return "OK";
        case 400:
            return "Bad Request";
        case 404:
            return "Not Found";
        case kMethodNotAllowed:
            return "Method Not Allowed";
        case 408:
            return "Request Timeout";
        case 413:
            return "Payload Too Large";
        case 429:
            return "Too Many Requests";
        case 431:
            return "Request Header Fields Too Large";
        case 502:
            return "Bad Gateway";
        case 503:
            return "Service Unavailable";
        default:
            return "Unknown";
    }
}

ClientResponse plainResponse(int status) {
    return {status, {}, "text/plain", reasonPhrase(status)};
}

void appendResponse(std::string& text, const ClientResponse& response, bool keepAlive) {
    text.append("HTTP/1.1 ").append(std::to_string(response.status)).append(" ");
    text.append(reasonPhrase(response.status));
    if (!response.contentType.empty()) text.append("\r\nContent-Type: ").append(response.contentType);
    if (response.retryAfter > Duration::zero()) {
        text.append("\r\nRetry-After: ");
        appendSeconds(text, response.retryAfter);
    }
    if (response.status == kMethodNotAllowed) text.append("\r\nAllow: GET, POST");
    text.append("\r\nContent-Length: ").append(std::to_string(response.body.size()));
    if (!keepAlive) text.append("\r\nConnection: close");
    text.append("\r\n\r\n").append(response.body);
}

}  // namespace gateway::net
