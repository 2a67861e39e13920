// Framing of clients' requests.
#include "net/client/client_request_reader.h"

#include <gtest/gtest.h>

#include <boost/asio/buffer.hpp>
#include <string>

#include "net/transport/http_limits.h"

namespace gateway::net::test {
namespace {

namespace http = boost::beast::http;
using std::chrono::milliseconds;
using Progress = ClientRequestReader::Progress;

class ClientRequestReaderTest : public testing::Test {
protected:
    // Receives `bytes` at `now`, and reads the request from all bytes that are not consumed.
    Progress receive(const std::string& bytes) {
        input.commit(boost::asio::buffer_copy(input.prepare(bytes.size()), boost::asio::buffer(bytes)));
        reader.recordReceived(input.size(), now);
        return reader.read(input, now);
    }

    TimePoint now{std::chrono::seconds(1000)};
    boost::beast::flat_buffer input;
    ClientRequestReader reader;
};

TEST_F(ClientRequestReaderTest, ReadsRequestThatArrivesInPieces) {
    const TimePoint start = now;
    EXPECT_FALSE(reader.isPartial());
    EXPECT_EQ(receive("POST /spend HTTP/1.1\r\nContent-"), Progress::incomplete);
    now += milliseconds(50);
    EXPECT_EQ(receive("Length: 4\r\n\r\nte"), Progress::incomplete);
    EXPECT_TRUE(reader.isPartial());
    EXPECT_EQ(receive("xt"), Progress::complete);
    EXPECT_EQ(reader.takeRequest().body(), "text");
    EXPECT_FALSE(reader.isPartial());
    EXPECT_EQ(reader.receivedAt(), start);
    EXPECT_EQ(reader.readingStartedAt(), start);
}

TEST_F(ClientRequestReaderTest, RecordsArrivalOfPipelinedRequest) {
    const std::string request = "GET /load HTTP/1.1\r\n\r\n";
    const TimePoint start = now;
    EXPECT_EQ(receive(request + request), Progress::complete);
    reader.takeRequest();
    now += milliseconds(50);
    EXPECT_EQ(reader.read(input, now), Progress::complete);
    EXPECT_EQ(reader.receivedAt(), start);
    EXPECT_EQ(reader.readingStartedAt(), now);
}

TEST_F(ClientRequestReaderTest, RejectsTextThatIsNotHttpWith400) {
    EXPECT_EQ(receive("nonsense\r\n\r\n"), Progress::rejected);
    EXPECT_EQ(reader.rejectionStatus(), http::status::bad_request);
}

TEST_F(ClientRequestReaderTest, RejectsAmbiguousLengthWith400) {
    EXPECT_EQ(receive("POST /spend HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"),
              Progress::rejected);
    EXPECT_EQ(reader.rejectionStatus(), http::status::bad_request);
}

TEST_F(ClientRequestReaderTest, RejectsTooLargeBodyWith413) {
    EXPECT_EQ(
        receive("POST /spend HTTP/1.1\r\nContent-Length: " + std::to_string(kMaxBodyBytes + 1) + "\r\n\r\n"),
        Progress::rejected);
    EXPECT_EQ(reader.rejectionStatus(), http::status::payload_too_large);
}

TEST_F(ClientRequestReaderTest, RejectsTooLargeHeaderWith431) {
    EXPECT_EQ(receive("GET /load HTTP/1.1\r\nName: " + std::string(kMaxHeaderBytes, 'x')),
              Progress::rejected);
    EXPECT_EQ(reader.rejectionStatus(), http::status::request_header_fields_too_large);
}

TEST_F(ClientRequestReaderTest, DetectsExpectContinueOfChunkedBody) {
    EXPECT_EQ(receive("POST /spend HTTP/1.1\r\nExpect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n1"),
              Progress::incomplete);
    EXPECT_TRUE(reader.expectsContinue());
}

}  // namespace
}  // namespace gateway::net::test
