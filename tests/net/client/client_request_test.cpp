// Tests of parseClientRequest() and hasAmbiguousLength().
#include "net/client/client_request.h"

#include <gtest/gtest.h>

#include <functional>
#include <string>

namespace gateway::net::test {
namespace {

namespace http = boost::beast::http;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kReceivedAt{seconds(1000)};

RequestRules makeRules() {
    RequestRules rules;
    RequestClass load;
    load.deadline = seconds(2);
    RequestClass change = load;
    change.idempotency = Idempotency::withKey;
    rules.classes = {load, change};
    rules.classNames = {"load", "change"};
    rules.planNames = {"team", "free"};
    rules.gatewayCount = 3;
    rules.maxRequestCost = 4;
    return rules;
}

HttpRequest makeRequest(const std::string& className = "load") {
    const bool isSafe = className == "load";
    HttpRequest message(isSafe ? http::verb::get : http::verb::post, "/" + className + "/item?slot=7", 11);
    message.set(http::field::host, "origin.svc");
    message.set("Request-Id", "r1");
    message.set("Request-Class", className);
    message.set("X-Contract", "free");
    message.set("X-Client-Id", "00000000b4d65521");
    message.set("Request-Timeout-Ms", "480");
    message.set("X-Metering", "units=2.5,spread=3,first=1");
    if (isSafe) return message;
    message.set("Idempotency-Key", "k1");
    message.body() = "text";
    return message;
}

TEST(ClientRequestTest, TranslatesHeaders) {
    HttpRequest message = makeRequest("change");
    message.set("Client-Retry", "1");
    const auto parsed = parseClientRequest(message, makeRules(), kReceivedAt);
    ASSERT_TRUE(std::holds_alternative<ClientRequest>(parsed));
    const RequestArrived& arrival = std::get<ClientRequest>(parsed).arrival;
    EXPECT_EQ(arrival.request, RequestId("r1"));
    EXPECT_EQ(arrival.requestClass, RequestClassIndex{1});
    EXPECT_EQ(arrival.plan, QuotaPlanIndex{1});
    EXPECT_EQ(arrival.tenant, TenantId{0xb4d65521});
    EXPECT_EQ(arrival.deadline, kReceivedAt + milliseconds(480));
    EXPECT_EQ(arrival.cost, 2.5);
    EXPECT_EQ(arrival.entryPoints, 3);
    EXPECT_TRUE(arrival.isRetry);
}

TEST(ClientRequestTest, ForwardsMethodTargetHostIdKeyAndBodyUnchanged) {
    const auto parsed = parseClientRequest(makeRequest("change"), makeRules(), kReceivedAt);
    ASSERT_TRUE(std::holds_alternative<ClientRequest>(parsed));
    const ForwardedRequest& forwarded = *std::get<ClientRequest>(parsed).forwarded;
    EXPECT_EQ(forwarded.method, "POST");
    EXPECT_EQ(forwarded.target, "/change/item?slot=7");
    EXPECT_EQ(forwarded.host, "origin.svc");
    EXPECT_EQ(forwarded.id, "r1");
    EXPECT_EQ(forwarded.idempotencyKey, "k1");
    EXPECT_EQ(forwarded.body, "text");
}

TEST(ClientRequestTest, LimitsTimeoutToTwoDeadlinesOfTheClass) {
    HttpRequest message = makeRequest();
    message.set("Request-Timeout-Ms", "3600000");
    const auto parsed = parseClientRequest(message, makeRules(), kReceivedAt);
    ASSERT_TRUE(std::holds_alternative<ClientRequest>(parsed));
    EXPECT_EQ(std::get<ClientRequest>(parsed).arrival.deadline, kReceivedAt + seconds(4));
}

struct InvalidCase {
    const char* name;
    std::function<void(HttpRequest&)> modify;
    http::status status;
    RequestField field;
};

std::ostream& operator<<(std::ostream& out, const InvalidCase& param) {
    return out << param.name;
}

InvalidCase invalidHeader(const char* name, const char* header, const char* value, RequestField field) {
    return {name, [=](HttpRequest& message) { message.set(header, value); }, http::status::bad_request,
            field};
}

InvalidCase missingHeader(const char* name, const char* header, RequestField field) {
    return {name, [=](HttpRequest& message) { message.erase(header); }, http::status::bad_request, field};
}

class InvalidRequestTest : public testing::TestWithParam<InvalidCase> {};

TEST_P(InvalidRequestTest, IsRejectedWithStatusAndField) {
    HttpRequest message = makeRequest();
    GetParam().modify(message);
    const auto parsed = parseClientRequest(message, makeRules(), kReceivedAt);
    ASSERT_TRUE(std::holds_alternative<RequestError>(parsed));
    EXPECT_EQ(std::get<RequestError>(parsed).status, GetParam().status);
    EXPECT_EQ(std::get<RequestError>(parsed).field, GetParam().field);
}

INSTANTIATE_TEST_SUITE_P(
    Fields, InvalidRequestTest,
    testing::Values(
        InvalidCase{"TargetWithoutPath", [](HttpRequest& message) { message.target("*"); },
                    http::status::bad_request, RequestField::target},
        InvalidCase{"UnknownClass", [](HttpRequest& message) { message.target("/other"); },
                    http::status::not_found, RequestField::target},
        InvalidCase{"WrongMethod", [](HttpRequest& message) { message.method(http::verb::post); },
                    http::status::method_not_allowed, RequestField::method},
        InvalidCase{"SafeRequestWithBody", [](HttpRequest& message) { message.body() = "text"; },
                    http::status::bad_request, RequestField::body},
        InvalidCase{"KeyedRequestWithoutKey",
                    [](HttpRequest& message) {
                        message = makeRequest("change");
                        message.erase("Idempotency-Key");
                    },
                    http::status::bad_request, RequestField::idempotencyKey},
        invalidHeader("ClassDiffersFromPath", "Request-Class", "change", RequestField::requestClass),
        invalidHeader("UnknownPlan", "X-Contract", "gold", RequestField::plan),
        missingHeader("MissingPlan", "X-Contract", RequestField::plan),
        missingHeader("MissingRequestId", "Request-Id", RequestField::requestId),
        invalidHeader("ShortTenant", "X-Client-Id", "b4d65521", RequestField::tenant),
        invalidHeader("TenantNotHex", "X-Client-Id", "00000000b4d6552g", RequestField::tenant),
        invalidHeader("TenantTooLarge", "X-Client-Id", "0000000200000000", RequestField::tenant),
        invalidHeader("TimeoutZero", "Request-Timeout-Ms", "0", RequestField::timeout),
        invalidHeader("TimeoutNotWhole", "Request-Timeout-Ms", "4.5", RequestField::timeout),
        invalidHeader("TimeoutNegative", "Request-Timeout-Ms", "-4", RequestField::timeout),
        missingHeader("MissingMetering", "X-Metering", RequestField::metering),
        invalidHeader("MeteringWithoutSpread", "X-Metering", "units=1,first=0", RequestField::metering),
        invalidHeader("MeteringItemWithoutValue", "X-Metering", "units=1,spread=1,first=0,x",
                      RequestField::metering),
        invalidHeader("CostZero", "X-Metering", "units=0,spread=1,first=0", RequestField::metering),
        invalidHeader("CostTooLarge", "X-Metering", "units=4.1,spread=1,first=0", RequestField::metering),
        invalidHeader("CostNotANumber", "X-Metering", "units=nan,spread=1,first=0", RequestField::metering),
        invalidHeader("TooManyEntryPoints", "X-Metering", "units=1,spread=4,first=0", RequestField::metering),
        invalidHeader("FirstEntryPointOutOfRange", "X-Metering", "units=1,spread=1,first=3",
                      RequestField::metering)),
    [](const auto& testCase) { return testCase.param.name; });

TEST(ClientRequestTest, IgnoresSpacesAndUnknownItemsInMetering) {
    HttpRequest message = makeRequest();
    message.set("X-Metering", "units=1, spread=2 ,other=x, first=0");
    EXPECT_TRUE(std::holds_alternative<ClientRequest>(parseClientRequest(message, makeRules(), kReceivedAt)));
}

TEST(ClientRequestTest, DetectsAmbiguousLength) {
    HttpRequest message = makeRequest("change");
    EXPECT_FALSE(hasAmbiguousLength(message));
    message.insert(http::field::transfer_encoding, "chunked");
    EXPECT_FALSE(hasAmbiguousLength(message));
    message.insert(http::field::content_length, "4");
    EXPECT_TRUE(hasAmbiguousLength(message));
    message.erase(http::field::content_length);
    message.set(http::field::transfer_encoding, "gzip, chunked");
    EXPECT_TRUE(hasAmbiguousLength(message));
}

}  // namespace
}  // namespace gateway::net::test
