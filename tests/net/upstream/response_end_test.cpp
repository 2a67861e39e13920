// Guards against responses without a length that are lost, and against incomplete ones that are served: how a
// response ends decides whether it is complete.
#include <gtest/gtest.h>

#include <ostream>
#include <string>

#include "net/transport/http_limits.h"
#include "net/upstream/attempt_runner_fixture.h"

namespace gateway::net {
namespace {

enum class Ending { closed, reset, open };

struct ResponseEnd {
    std::string name;
    std::string text;
    Ending ending;
    Outcome outcome;
    std::string body = {};
};
std::ostream& operator<<(std::ostream& out, const ResponseEnd& response) {
    return out << response.name;
}

const std::string kOk = "HTTP/1.1 200 OK\r\n";
const std::string kNoLength = kOk + "Connection: close\r\n\r\n";
const std::string kLargest(kMaxBodyBytes, 'x');

class ResponseEndTest : public AttemptRunnerTest, public testing::WithParamInterface<ResponseEnd> {};

INSTANTIATE_TEST_SUITE_P(
    Responses, ResponseEndTest,
    testing::Values(
        ResponseEnd{"NoLengthClosed", kNoLength + "hi", Ending::closed, Outcome::ok, "hi"},
        ResponseEnd{"NoLengthReset", kNoLength + "hi", Ending::reset, Outcome::reset},
        ResponseEnd{"NoLengthOpen", kNoLength + "hi", Ending::open, Outcome::reset},
        ResponseEnd{"KeepAliveClosed", kOk + "\r\nhi", Ending::closed, Outcome::ok, "hi"},
        ResponseEnd{"Http10Closed", "HTTP/1.0 200 OK\r\n\r\nhi", Ending::closed, Outcome::ok, "hi"},
        ResponseEnd{"EmptyClosed", kNoLength, Ending::closed, Outcome::ok},
        ResponseEnd{"EmptyReset", kNoLength, Ending::reset, Outcome::reset},
        ResponseEnd{"InterimClosed", "HTTP/1.1 103 Early Hints\r\n\r\n" + kNoLength + "hi", Ending::closed,
                    Outcome::ok, "hi"},
        ResponseEnd{"OnlyInterimClosed", "HTTP/1.1 103 Early Hints\r\n\r\n", Ending::closed, Outcome::reset},
        ResponseEnd{"LargestClosed", kNoLength + kLargest, Ending::closed, Outcome::ok, kLargest},
        ResponseEnd{"TooLargeClosed", kNoLength + kLargest + "x", Ending::closed, Outcome::reset},
        ResponseEnd{"NotStartedClosed", "HTTP/1.1 503 Full\r\nNot-Started: 1\r\n\r\nfull", Ending::closed,
                    Outcome::rejected},
        ResponseEnd{"ErrorClosed", "HTTP/1.1 500 Error\r\n\r\nerror", Ending::closed, Outcome::error},
        ResponseEnd{"HeaderCutClosed", kOk + "Connection: close\r\n", Ending::closed, Outcome::reset},
        ResponseEnd{"LengthCutClosed", kOk + "Content-Length: 3\r\n\r\nhi", Ending::closed, Outcome::reset},
        ResponseEnd{"ChunksCutClosed", kOk + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n", Ending::closed,
                    Outcome::reset},
        ResponseEnd{"CodedClosed", kOk + "Transfer-Encoding: gzip\r\n\r\nhi", Ending::closed,
                    Outcome::reset}),
    [](const auto& parameter) { return parameter.param.name; });

TEST_P(ResponseEndTest, DecidesOutcome) {
    tcp::socket peer = startAndReceive();
    write(peer, GetParam().text);
    if (GetParam().ending == Ending::reset) peer.set_option(boost::asio::socket_base::linger(true, 0));
    if (GetParam().ending != Ending::open) peer.close();
    EXPECT_EQ(waitForOutcome(), GetParam().outcome);
    ASSERT_EQ(ended.size(), 1U);
    EXPECT_EQ(ended[0].result.body, GetParam().body);
    EXPECT_EQ(idleConnections.take(*endpoint), nullptr);
}

}  // namespace
}  // namespace gateway::net
