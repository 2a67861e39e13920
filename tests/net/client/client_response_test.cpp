// The HTTP encoding of responses to clients.
#include "net/client/client_response.h"

#include <gtest/gtest.h>

namespace gateway::net::test {
namespace {

namespace http = boost::beast::http;

std::string encode(const ClientResponse& response, bool keepAlive = true) {
    std::string text;
    appendResponse(text, response, keepAlive);
    return text;
}

TEST(ClientResponseTest, WritesBodyAndContentType) {
    EXPECT_EQ(encode({http::status::ok, {}, "text/plain", "body"}),
              "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\nbody");
}

TEST(ClientResponseTest, WritesRetryAfterInDecimalSeconds) {
    EXPECT_EQ(encode({http::status::too_many_requests, std::chrono::milliseconds(1250), "", ""}),
              "HTTP/1.1 429 Too Many Requests\r\nRetry-After: 1.250000\r\nContent-Length: 0\r\n\r\n");
}

TEST(ClientResponseTest, WritesConnectionCloseIfConnectionEnds) {
    EXPECT_EQ(encode({http::status::bad_gateway, {}, "", ""}, false),
              "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
}

TEST(ClientResponseTest, NamesAllowedMethodsWith405) {
    EXPECT_EQ(encode({http::status::method_not_allowed, {}, "", ""}),
              "HTTP/1.1 405 Method Not Allowed\r\nAllow: GET, POST\r\nContent-Length: 0\r\n\r\n");
}

struct PhraseCase {
    http::status status;
    const char* phrase;
};

TEST(ClientResponseTest, PlainResponseHasReasonPhraseAsBody) {
    for (const PhraseCase& testCase :
         {PhraseCase{http::status::ok, "OK"},
          {http::status::bad_request, "Bad Request"},
          {http::status::not_found, "Not Found"},
          {http::status::method_not_allowed, "Method Not Allowed"},
          {http::status::request_timeout, "Request Timeout"},
          {http::status::payload_too_large, "Payload Too Large"},
          {http::status::too_many_requests, "Too Many Requests"},
          {http::status::request_header_fields_too_large, "Request Header Fields Too Large"},
          {http::status::bad_gateway, "Bad Gateway"},
          {http::status::service_unavailable, "Service Unavailable"}}) {
        const ClientResponse response = plainResponse(testCase.status);
        EXPECT_EQ(response.body, testCase.phrase);
        EXPECT_EQ(response.contentType, "text/plain");
    }
}

}  // namespace
}  // namespace gateway::net::test
