#include "net/upstream/upstream_response.h"

#include <gtest/gtest.h>

#include <boost/beast/http/status.hpp>
#include <string>

namespace gateway::net {
namespace {

namespace http = boost::beast::http;

class UpstreamResponseTest : public ::testing::Test {
protected:
    AttemptResult resultOf(http::status status) {
        response.result(status);
        return readAttemptResult(response);
    }

    HttpResponse response;
};

TEST_F(UpstreamResponseTest, ReadsSuccessWithItsHeadersAndBody) {
    response.set("Content-Type", "text/plain");
    response.set("Server-Load", "inflight=7,queue=2");
    response.set("X-Meter", "62.5");
    response.set("X-Settled", "3");
    response.body() = "content";
    const AttemptResult result = resultOf(http::status::ok);
    EXPECT_EQ(result.outcome, Outcome::ok);
    ASSERT_TRUE(result.loadReport);
    EXPECT_EQ(result.loadReport->inFlight, 7);
    EXPECT_EQ(result.quotaUsagePercent, 62.5);
    EXPECT_EQ(result.actualCost, 3);
    EXPECT_EQ(result.contentType, "text/plain");
    EXPECT_EQ(result.body, "content");
}

TEST_F(UpstreamResponseTest, ReadsLoadButNeitherCostNorBodyOfError) {
    response.set("Server-Load", "rif=4");
    response.set("X-Settled", "3");
    response.body() = "content";
    const AttemptResult result = resultOf(http::status::internal_server_error);
    EXPECT_EQ(result.outcome, Outcome::error);
    ASSERT_TRUE(result.loadReport);
    EXPECT_EQ(result.loadReport->inFlight, 4);
    EXPECT_EQ(result.actualCost, std::nullopt);
    EXPECT_EQ(result.body, "");
}

TEST_F(UpstreamResponseTest, TreatsStatusesOtherThan200AsErrors) {
    EXPECT_EQ(resultOf(http::status::no_content).outcome, Outcome::error);
    EXPECT_EQ(resultOf(http::status::found).outcome, Outcome::error);
}

TEST_F(UpstreamResponseTest, TreatsNotStartedAsRejectedOnUnavailableAndGatewayTimeoutOnly) {
    response.set("Not-Started", "1");
    EXPECT_EQ(resultOf(http::status::service_unavailable).outcome, Outcome::rejected);
    EXPECT_EQ(resultOf(http::status::gateway_timeout).outcome, Outcome::rejected);
    EXPECT_EQ(resultOf(http::status::internal_server_error).outcome, Outcome::error);
    response.set("Not-Started", "0");
    EXPECT_EQ(resultOf(http::status::service_unavailable).outcome, Outcome::error);
}

TEST_F(UpstreamResponseTest, IgnoresOtherItemsOfLoadReport) {
    response.set("Server-Load", "queue=2, rif=4, cpu");
    const AttemptResult result = resultOf(http::status::ok);
    ASSERT_TRUE(result.loadReport);
    EXPECT_EQ(result.loadReport->inFlight, 4);
    response.set("Server-Load", "queue=2");
    EXPECT_FALSE(resultOf(http::status::ok).loadReport);
}

class UpstreamResponseNumberTest : public UpstreamResponseTest,
                                   public ::testing::WithParamInterface<const char*> {};

TEST_P(UpstreamResponseNumberTest, TreatsMalformedOrOutOfRangeNumberAsNotReported) {
    response.set("X-Meter", GetParam());
    response.set("X-Settled", GetParam());
    response.set("Server-Load", std::string("inflight=") + GetParam());
    const AttemptResult result = resultOf(http::status::ok);
    EXPECT_EQ(result.quotaUsagePercent, std::nullopt);
    EXPECT_EQ(result.actualCost, std::nullopt);
    EXPECT_FALSE(result.loadReport);
}

INSTANTIATE_TEST_SUITE_P(Numbers, UpstreamResponseNumberTest,
                         ::testing::Values("", " ", "nan", "inf", "-1", "1000001", "12x", "1 2", "0x10"));

}  // namespace
}  // namespace gateway::net
