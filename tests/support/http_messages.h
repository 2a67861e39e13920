// The HTTP messages that the scripted peers of a gateway send, and how to read those that they receive.
#pragma once

#include <chrono>
#include <string>

namespace gateway::net::test {

// ---- Received messages ----------------------------------------------------------------------------------

int statusOf(const std::string& response);
std::string bodyOf(const std::string& message);
// The time limit that a forwarded request announces to the endpoint.
std::chrono::milliseconds announcedTimeout(const std::string& request);
// True where `message` is the request with this id.
bool isRequest(const std::string& message, const std::string& id);

bool contains(const std::string& text, const std::string& part);
// `text` with the first `from` in it replaced by `replacement`. `from` must be in it.
std::string replaced(std::string text, const std::string& from, const std::string& replacement);

// ---- Responses ------------------------------------------------------------------------------------------

// A complete 200; `headers` are complete lines.
std::string okResponse(const std::string& body, const std::string& headers = "");
// The same, after which the endpoint closes the connection.
std::string okResponseAndClose(const std::string& body = "");

// An endpoint's rejection: the attempt was not started.
constexpr const char* kNotStartedResponse =
    "HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n";
// Discovery or the counter is overloaded.
constexpr const char* kUnavailableResponse = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
// The head of a response in chunks, as of a watch.
constexpr const char* kChunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string chunk(const std::string& text);

}  // namespace gateway::net::test
