// HTTP messages for the test's side of a gateway: functions that read received ones, and responses to send.
#pragma once

#include <chrono>
#include <string>

namespace gateway::net::test {

// ---- Received messages ----------------------------------------------------------------------------------

int statusOf(const std::string& response);
std::string bodyOf(const std::string& message);
// The value of Request-Timeout-Ms in a forwarded request.
std::chrono::milliseconds announcedTimeout(const std::string& request);
// Returns true if `message` is the request with this id.
bool isRequest(const std::string& message, const std::string& id);

bool contains(const std::string& text, const std::string& part);
// Returns `text` with the first occurrence of `from` replaced. Precondition: `text` contains `from`.
std::string replaced(std::string text, const std::string& from, const std::string& replacement);

// ---- Responses ------------------------------------------------------------------------------------------

// A complete response with the status 200. `headers` holds complete lines.
std::string okResponse(const std::string& body, const std::string& headers = "");
// A complete response with the status 200 and the header "Connection: close".
std::string okResponseAndClose(const std::string& body = "");

// The response of an endpoint that did not start the attempt.
constexpr const char* kNotStartedResponse =
    "HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n";
// The response of an overloaded discovery service or counter.
constexpr const char* kUnavailableResponse = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
// The head of a chunked response, for example to a watch.
constexpr const char* kChunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string chunk(const std::string& text);

}  // namespace gateway::net::test
