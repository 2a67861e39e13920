#include "support/http_messages.h"

#include <sstream>
#include <string_view>

namespace gateway::net::test {

int statusOf(const std::string& response) {
    constexpr std::size_t kStatusAt = std::string_view("HTTP/1.1 ").size();
    constexpr std::size_t kStatusDigits = 3;
    return std::stoi(response.substr(kStatusAt, kStatusDigits));
}

std::string bodyOf(const std::string& message) {
    constexpr std::string_view kEndOfHead = "\r\n\r\n";
    return message.substr(message.find(kEndOfHead) + kEndOfHead.size());
}

std::chrono::milliseconds announcedTimeout(const std::string& request) {
    constexpr std::string_view kField = "Request-Timeout-Ms: ";
    return std::chrono::milliseconds(std::stol(request.substr(request.find(kField) + kField.size())));
}

bool isRequest(const std::string& message, const std::string& id) {
    return contains(message, "Request-Id: " + id + "\r\n");
}

bool contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}

std::string replaced(std::string text, const std::string& from, const std::string& replacement) {
    return text.replace(text.find(from), from.size(), replacement);
}

std::string okResponse(const std::string& body, const std::string& headers) {
    return "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

std::string okResponseAndClose(const std::string& body) {
    return okResponse(body, "Connection: close\r\n");
}

std::string chunk(const std::string& text) {
    std::ostringstream encoded;
    encoded << std::hex << text.size() << "\r\n" << text << "\r\n";
    return encoded.str();
}

}  // namespace gateway::net::test
