// Encoding and decoding of the counter's HTTP messages.
#include "net/counter/counter_protocol.h"

#include <gtest/gtest.h>

#include <boost/asio/buffer.hpp>
#include <limits>
#include <string>

namespace gateway::net::test {
namespace {

using std::chrono::microseconds;
using Progress = CounterResponseParser::Progress;

std::string encodeCall(double amount, Duration timeToLive) {
    std::string text;
    appendCounterCall(text, {"q1.2", amount, timeToLive}, "127.0.0.1:9");
    return text;
}

TEST(CounterCallTest, WritesNameAmountTimeToLiveAndHost) {
    EXPECT_EQ(encodeCall(-2.5, std::chrono::seconds(4)),
              "POST /v1/count/q1.2?add=-2.5&ttl_ms=4000 HTTP/1.1\r\n"
              "Host: 127.0.0.1:9\r\nContent-Length: 0\r\n\r\n");
}

TEST(CounterCallTest, RoundsTimeToLiveUpToAtLeastOneMillisecond) {
    EXPECT_NE(encodeCall(1, microseconds(1001)).find("ttl_ms=2 "), std::string::npos);
    EXPECT_NE(encodeCall(1, microseconds(1000)).find("ttl_ms=1 "), std::string::npos);
    EXPECT_NE(encodeCall(1, microseconds(0)).find("ttl_ms=1 "), std::string::npos);
}

TEST(CounterCallTest, WritesLargeAndSmallAmountsWithoutExponent) {
    EXPECT_NE(encodeCall(1e9, microseconds(1)).find("?add=1000000000&"), std::string::npos);
    EXPECT_NE(encodeCall(1e-7, microseconds(1)).find("?add=0.0000001&"), std::string::npos);
    EXPECT_EQ(encodeCall(std::numeric_limits<double>::max(), microseconds(1)).find("e+"), std::string::npos);
}

struct TotalCase {
    const char* name;
    const char* body;
    std::optional<double> total;
};

std::ostream& operator<<(std::ostream& out, const TotalCase& param) {
    return out << param.name;
}

class CounterTotalTest : public testing::TestWithParam<TotalCase> {};

TEST_P(CounterTotalTest, ReadsFiniteDecimalNumbersOnly) {
    EXPECT_EQ(parseCounterTotal(GetParam().body), GetParam().total);
}

INSTANTIATE_TEST_SUITE_P(
    Bodies, CounterTotalTest,
    testing::Values(TotalCase{"Integer", "38", 38}, TotalCase{"Decimal", "1000000.5", 1000000.5},
                    TotalCase{"Negative", "-3", -3}, TotalCase{"TrailingNewline", "7 \r\n", 7},
                    TotalCase{"Empty", "", std::nullopt}, TotalCase{"WhiteSpace", " \n", std::nullopt},
                    TotalCase{"LeadingSpace", " 7", std::nullopt},
                    TotalCase{"TrailingText", "12x", std::nullopt},
                    TotalCase{"NotANumber", "nan", std::nullopt}, TotalCase{"Infinite", "inf", std::nullopt}),
    [](const auto& testCase) { return testCase.param.name; });

class CounterResponseParserTest : public testing::Test {
protected:
    Progress read(const std::string& bytes) {
        input.commit(boost::asio::buffer_copy(input.prepare(bytes.size()), boost::asio::buffer(bytes)));
        return parser.read(input);
    }

    boost::beast::flat_buffer input;
    CounterResponseParser parser;
};

TEST_F(CounterResponseParserTest, ReadsResponseThatArrivesInPieces) {
    EXPECT_EQ(read("HTTP/1.1 200 OK\r\nContent-"), Progress::incomplete);
    EXPECT_EQ(read("Length: 2\r\n\r\n3"), Progress::incomplete);
    EXPECT_EQ(read("8"), Progress::complete);
    const CounterResponse response = parser.takeResponse();
    EXPECT_TRUE(response.isOk);
    EXPECT_EQ(response.total, 38);
    EXPECT_TRUE(response.keepAlive);
}

TEST_F(CounterResponseParserTest, LeavesPipelinedResponsesInTheInput) {
    EXPECT_EQ(read("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1"
                   "HTTP/1.1 503 Full\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"),
              Progress::complete);
    EXPECT_EQ(parser.takeResponse().total, 1);
    EXPECT_EQ(parser.read(input), Progress::complete);
    const CounterResponse second = parser.takeResponse();
    EXPECT_FALSE(second.isOk);
    EXPECT_FALSE(second.total);
    EXPECT_FALSE(second.keepAlive);
    EXPECT_EQ(input.size(), 0U);
}

TEST_F(CounterResponseParserTest, ReadsFinalResponseAfterInterimOne) {
    EXPECT_EQ(read("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n5"),
              Progress::interim);
    EXPECT_EQ(parser.read(input), Progress::complete);
    EXPECT_EQ(parser.takeResponse().total, 5);
}

TEST_F(CounterResponseParserTest, RejectsTextThatIsNotHttp) {
    EXPECT_EQ(read("nonsense\r\n\r\n"), Progress::malformed);
}

TEST_F(CounterResponseParserTest, CompletesResponseWithoutLengthAtEndOfStreamOnly) {
    EXPECT_EQ(read("HTTP/1.1 200 OK\r\n\r\n12"), Progress::incomplete);
    EXPECT_TRUE(parser.endsWithConnection());
    EXPECT_TRUE(parser.completeAtEndOfStream());
    const CounterResponse response = parser.takeResponse();
    EXPECT_EQ(response.total, 12);
    EXPECT_FALSE(response.keepAlive);
}

TEST_F(CounterResponseParserTest, DoesNotCompleteTruncatedResponseAtEndOfStream) {
    EXPECT_EQ(read("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n1"), Progress::incomplete);
    EXPECT_FALSE(parser.endsWithConnection());
    EXPECT_FALSE(parser.completeAtEndOfStream());
}

TEST_F(CounterResponseParserTest, RejectsTooLargeResponseWithoutLength) {
    EXPECT_EQ(read("HTTP/1.1 200 OK\r\n\r\n" + std::string(4097, '1')), Progress::malformed);
}

TEST_F(CounterResponseParserTest, RejectsUnknownTransferCoding) {
    EXPECT_EQ(read("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n1"), Progress::malformed);
}

TEST_F(CounterResponseParserTest, RejectsResponseThatAnnouncesTooLargeABody) {
    EXPECT_EQ(read("HTTP/1.1 200 OK\r\nContent-Length: 4097\r\n\r\n1"), Progress::malformed);
}

}  // namespace
}  // namespace gateway::net::test
