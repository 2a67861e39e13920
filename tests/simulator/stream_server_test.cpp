// The simulator adapter: batches of messages in, replies and errors out.
#include "simulator/stream_server.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <ostream>
#include <sstream>
#include <string>

namespace gateway::simulator::test {
namespace {

using Json = nlohmann::json;

const std::string kEnlistMessage =
    R"({"enlist":{"gatekeeper":3,"randomSeed":9,"info":{"allowed":{"cancel":true,"maxAttempts":4,)"
    R"("retryAfter":true,)"
    R"("maxRetryAfterS":0.5,"whatever":1},"balancers":2,"me":1,"classes":[{"aimS":0.6,"deadlineS":2.5,)"
    R"("effect":"safe","group":"all","name":"get"}],"contracts":[{"perSecond":2.0,"depth":8.0}],)"
    R"("domain":{"mayCount":true,"counterTimeoutS":0.03,"maxUnits":2},"rules":{"coldFrom":0.25},)"
    R"("report":{"fields":["rif"],"how":"inline"},"novelty":{"x":1}}}})"
    "\n";
const std::string kMembershipMessage = R"({"membership":{"gatekeeper":3,"scope":"SAVED","rev":4,)"
                                       R"("items":[{"availability":"IN","worker":"w1"}]}})"
                                       "\n";
const std::string kShutdownMessage = "{\"shutdown\":{\"gatekeeper\":3}}\n";
const std::string kLapsedMessage = "{\"lapsed\":{\"gatekeeper\":3,\"corr\":\"x\"}}\n";

std::string makeBatch(const std::string& lines, double now = 8.0) {
    return "{\"tick\":{\"momentS\":" + std::to_string(now) + "}}\n" + lines + "{\"eofBatch\":{}}\n";
}

// A batch that starts gateway 3 and gives it an endpoint.
const std::string kStartBatch = makeBatch(kEnlistMessage + kMembershipMessage);

std::string replyTo(const std::string& input) {
    std::istringstream in(input);
    std::ostringstream out;
    serve(in, out);
    return out.str();
}

// Returns the text of the error that the input causes; empty if there is none.
std::string errorOf(const std::string& input) {
    try {
        replyTo(input);
    } catch (const SimulatorInputError& e) {
        return e.what();
    }
    return "";
}

TEST(StreamServerTest, AnswersEmptyBatchWithReady) {
    EXPECT_EQ(replyTo(makeBatch("")), "{\"ready\":{}}\n");
}

TEST(StreamServerTest, AnswersRequestWithCounterCallOfItsGateway) {
    const std::string reply =
        replyTo(kStartBatch + makeBatch(R"({"knock":{"gatekeeper":3,"corr":"a-b","priority":0,"contract":0,)"
                                        R"("account":77,"notAfterS":10.5,)"
                                        R"("units":2,"entryPoints":2,"firstDoor":1,"neverHeardOf":5}})"
                                        "\n",
                                        8.1));
    std::istringstream lines(reply);
    std::string line;
    std::string name;
    bool hasCall = false;
    while (std::getline(lines, line)) {
        const Json message = Json::parse(line);
        name = message.begin().key();
        if (name != "postAmount" || message[name]["n"] != 2.0) continue;
        hasCall = true;
        EXPECT_EQ(message[name]["gatekeeper"], 3);
        EXPECT_TRUE(message[name]["counter"].is_string());
    }
    EXPECT_TRUE(hasCall);
    EXPECT_EQ(name, "ready");
}

TEST(StreamServerTest, ForgetsGatewayAfterShutdown) {
    EXPECT_EQ(errorOf(kStartBatch + makeBatch(kShutdownMessage)), "");
    EXPECT_NE(errorOf(kStartBatch + makeBatch(kShutdownMessage) + makeBatch(kLapsedMessage))
                  .find("gateway 3 is not enlisted"),
              std::string::npos);
}

TEST(StreamServerTest, IgnoresUnknownIdsAndMessagesOfPeers) {
    EXPECT_EQ(
        errorOf(kStartBatch + makeBatch(kLapsedMessage +
                                        "{\"bell\":{\"gatekeeper\":3,\"ref\":\"99\"}}\n"
                                        "{\"memo\":{\"gatekeeper\":3,\"author\":0,\"octets\":\"6869\"}}\n")),
        "");
}

// ---- Errors ---------------------------------------------------------------------------------------

struct ErrorCase {
    const char* name;
    std::string input;
    const char* error;
};

std::ostream& operator<<(std::ostream& out, const ErrorCase& param) {
    return out << param.name;
}

std::string enlistWithNegativeRate() {
    std::string enlist = kEnlistMessage;
    const std::string rate = "\"perSecond\":2.0";
    return enlist.replace(enlist.find(rate), rate.size(), "\"perSecond\":-2.0");
}

class SimulatorInputErrorTest : public testing::TestWithParam<ErrorCase> {};

TEST_P(SimulatorInputErrorTest, NamesPlaceAndReason) {
    const std::string error = errorOf(GetParam().input);
    EXPECT_NE(error.find(GetParam().error), std::string::npos) << error;
}

INSTANTIATE_TEST_SUITE_P(
    Lines, SimulatorInputErrorTest,
    testing::Values(
        ErrorCase{"NotJson", kStartBatch + "{oops\n", "line 5: message: is not valid JSON"},
        ErrorCase{"UnknownGateway", makeBatch("{\"mystery\":{\"gatekeeper\":3}}\n"),
                  "gateway 3 is not enlisted"},
        ErrorCase{"UnknownMessage", kStartBatch + makeBatch("{\"mystery\":{\"gatekeeper\":3}}\n"),
                  "mystery: unknown message"},
        ErrorCase{"MissingField", kStartBatch + makeBatch("{\"knock\":{\"gatekeeper\":3}}\n"),
                  "knock.corr: is missing"},
        ErrorCase{"OutsideABatch", "{\"eofBatch\":{}}\n", "outside a batch: a tick message must come first"},
        ErrorCase{"EndsInsideABatch", "{\"tick\":{\"momentS\":1}}\n", "the last batch has not ended"},
        ErrorCase{"BatchWithinABatch", "{\"tick\":{\"momentS\":1}}\n{\"tick\":{\"momentS\":2}}\n",
                  "line 2: tick: the previous batch has not ended"},
        ErrorCase{"TwoNamesInAMessage", makeBatch("{\"bell\":{},\"knock\":{}}\n"),
                  "line 2: message: must be a JSON object with one key"},
        ErrorCase{"InvalidSettings", makeBatch(enlistWithNegativeRate()), "contracts[0].perSecond"}),
    [](const auto& testCase) { return testCase.param.name; });

// ---- Messages that gateways ignore ----------------------------------------------------------------

// Requests of a few tenants, one in each batch. With `withIgnoredMessages`, a message of a peer and a failed
// health check precede each request.
std::string requestsOfTenants(bool withIgnoredMessages) {
    constexpr int kRequests = 60;
    std::string input = kStartBatch;
    for (int i = 0; i < kRequests; ++i) {
        std::string lines;
        if (withIgnoredMessages) {
            std::string octets;
            for (int pair = 0; pair < i * 17 % 300; ++pair) octets += "5f";
            lines += R"({"memo":{"gatekeeper":3,"author":)" + std::to_string(i - 30) + R"(,"octets":")" +
                     octets + "\"}}\n";
            lines += R"({"pingResult":{"gatekeeper":3,"worker":"w1","code":"err","waitTimeS":0.1}})"
                     "\n";
        }
        lines += R"({"knock":{"gatekeeper":3,"corr":"r)" + std::to_string(i) +
                 R"(","priority":0,"contract":0,"account":)" + std::to_string(i % 7) +
                 R"(,"notAfterS":10.5,"units":1,"entryPoints":2}})"
                 "\n";
        input += makeBatch(lines, 8.1);
    }
    return input;
}

TEST(StreamServerTest, PeerMessagesAndHealthChecksDoNotChangeDecisions) {
    const std::string reply = replyTo(requestsOfTenants(false));
    EXPECT_NE(reply.find("postAmount"), std::string::npos);
    EXPECT_EQ(replyTo(requestsOfTenants(true)), reply);
}

}  // namespace
}  // namespace gateway::simulator::test
