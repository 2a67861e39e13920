#include "net/upstream/attempt_runner.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <utility>

#include "net/upstream/attempt_runner_fixture.h"

namespace gateway::net {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

// ---- Attempts that end at once --------------------------------------------------------------------

TEST_F(AttemptRunnerTest, EndsAtOnceIfEndpointIsNotListed) {
    endpoint = nullptr;
    const AttemptId id = start();
    ASSERT_EQ(ended.size(), 1U);
    EXPECT_EQ(ended[0].id, id);
    EXPECT_EQ(ended[0].result.outcome, Outcome::notSent);
}

TEST_F(AttemptRunnerTest, EndsAtOnceIfNoTimeIsLeft) {
    options.timeout = Duration::zero();
    start();
    ASSERT_EQ(ended.size(), 1U);
    EXPECT_EQ(ended[0].result.outcome, Outcome::notSent);
}

TEST_F(AttemptRunnerTest, EndsAtOnceIfDrainGracePeriodIsOver) {
    endpoint->startDraining(steady_clock::now() - limits.drainGracePeriod);
    start();
    ASSERT_EQ(ended.size(), 1U);
    EXPECT_EQ(ended[0].result.outcome, Outcome::notSent);
}

TEST_F(AttemptRunnerTest, EndsAtOnceIfEveryConnectionIsInUse) {
    limits.maxConnections = 1;
    makeRunner();
    const tcp::socket peer = startAndReceive();
    const AttemptId second = start();
    ASSERT_EQ(ended.size(), 1U);
    EXPECT_EQ(ended[0].id, second);
    EXPECT_EQ(ended[0].result.outcome, Outcome::notSent);
}

// ---- Requests and responses -----------------------------------------------------------------------

TEST_F(AttemptRunnerTest, SendsRequestAndReturnsResponse) {
    const AttemptId id = start();
    tcp::socket peer = accept();
    const std::string sent = receive(peer);
    EXPECT_EQ(sent.find("GET /path HTTP/1.1\r\nHost: host\r\nRequest-Id: request\r\nRequest-Timeout-Ms: 19"),
              0U);
    EXPECT_EQ(sent.find("Content-Length"), std::string::npos);
    respond(peer);
    ASSERT_EQ(ended.size(), 1U);
    EXPECT_EQ(ended[0].id, id);
    EXPECT_EQ(ended[0].result.outcome, Outcome::ok);
    EXPECT_EQ(ended[0].result.body, "hi");
    EXPECT_GT(ended[0].result.elapsed, Duration::zero());
}

TEST_F(AttemptRunnerTest, SendsBodyAndIdempotencyKey) {
    request->method = "POST";
    request->idempotencyKey = "key";
    request->body = "body";
    start();
    tcp::socket peer = accept();
    const std::string sent = receive(peer);
    EXPECT_NE(sent.find("\r\nIdempotency-Key: key\r\nContent-Length: 4\r\n\r\nbody"), std::string::npos);
}

TEST_F(AttemptRunnerTest, SkipsInterimResponses) {
    tcp::socket peer = startAndReceive();
    respond(peer, "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi");
    EXPECT_EQ(ended[0].result.outcome, Outcome::ok);
    EXPECT_EQ(ended[0].result.body, "hi");
}

TEST_F(AttemptRunnerTest, EndsAsResetOnMalformedResponse) {
    tcp::socket peer = startAndReceive();
    respond(peer, "no HTTP\r\n\r\n");
    EXPECT_EQ(ended[0].result.outcome, Outcome::reset);
}

TEST_F(AttemptRunnerTest, EndsAsResetOnResponseThatIsNeverCompleted) {
    tcp::socket peer = startAndReceive();
    respond(peer, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nh");
    EXPECT_EQ(ended[0].result.outcome, Outcome::reset);
}

TEST_F(AttemptRunnerTest, EndsAsResetWhenConnectionEndsAfterRequest) {
    tcp::socket peer = startAndReceive();
    peer.close();
    EXPECT_EQ(waitForOutcome(), Outcome::reset);
}

TEST_F(AttemptRunnerTest, EndsAsConnectFailedWhenConnectionIsRefused) {
    acceptor.close();
    start();
    EXPECT_EQ(waitForOutcome(), Outcome::connectFailed);
}

TEST_F(AttemptRunnerTest, EndsAsTimedOutWithoutResponse) {
    options.timeout = milliseconds(50);
    const tcp::socket peer = startAndReceive();
    EXPECT_EQ(waitForOutcome(), Outcome::timedOut);
}

TEST_F(AttemptRunnerTest, LogsWhyResponsesCouldNotBeUsed) {
    testing::internal::CaptureStderr();
    tcp::socket malformed = startAndReceive();
    respond(malformed, "no HTTP\r\n\r\n");
    tcp::socket closed = startAndReceive();
    write(closed, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nh");
    closed.close();
    runUntil([&] { return ended.size() == 2U; });
    tcp::socket reset = startAndReceive();
    reset.set_option(boost::asio::socket_base::linger(true, 0));
    reset.close();
    runUntil([&] { return ended.size() == 3U; });
    tcp::socket slow = startAndReceive();
    respond(slow, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nh");
    bool isLogged = false;
    timers.schedule(milliseconds(1001), [&] { isLogged = true; });
    runUntil([&] { return isLogged; });
    const std::string prefix = "gateway: warning: upstream: attempts failed ";
    EXPECT_EQ(testing::internal::GetCapturedStderr(),
              prefix + "on a response that is malformed or too large: 1 in the last second\n" +  //
                  prefix +
                  "as the endpoint closed the connection before its response was complete: 1 in the last "
                  "second\n" +
                  prefix +
                  "as the connection was reset before the response was complete: 1 in the last second\n" +
                  prefix +
                  "on a response that was not complete in time after its first byte: 1 in the last second\n");
}

// ---- Between connecting and sending ---------------------------------------------------------------

TEST_F(AttemptRunnerTest, DoesNotSendAttemptThatHookRefuses) {
    shouldSendOnNewConnection = false;
    start();
    tcp::socket peer = accept();
    EXPECT_EQ(waitForOutcome(), Outcome::notSent);
    EXPECT_TRUE(isClosedWithoutBytes(peer));
}

TEST_F(AttemptRunnerTest, DoesNotSendAttemptThatIsCancelledBeforeSend) {
    onNewConnection = [this](AttemptId id) { runner->cancel(id); };
    start();
    tcp::socket peer = accept();
    EXPECT_TRUE(isClosedWithoutBytes(peer));
    ASSERT_EQ(ended.size(), 1U);
    EXPECT_EQ(ended[0].result.outcome, Outcome::notSent);
}

TEST_F(AttemptRunnerTest, DoesNotSendIfDrainGracePeriodEndsWhileConnecting) {
    start();
    endpoint->startDraining(steady_clock::now() - limits.drainGracePeriod);
    tcp::socket peer = accept();
    EXPECT_EQ(waitForOutcome(), Outcome::notSent);
    EXPECT_TRUE(isClosedWithoutBytes(peer));
}

TEST_F(AttemptRunnerTest, DoesNotSendIfSendDeadlinePassesWhileConnecting) {
    options.maxSendDelay = Duration(1);
    start();
    tcp::socket peer = accept();
    EXPECT_EQ(waitForOutcome(), Outcome::notSent);
    EXPECT_TRUE(isClosedWithoutBytes(peer));
}

// ---- Cancellation ---------------------------------------------------------------------------------

TEST_F(AttemptRunnerTest, CancelsAttemptThatWasSent) {
    const tcp::socket peer = startAndReceive();
    runner->cancelUnsent(AttemptId{1});
    EXPECT_TRUE(ended.empty());
    runner->cancel(AttemptId{1});
    ASSERT_EQ(ended.size(), 1U);
    EXPECT_EQ(ended[0].result.outcome, Outcome::cancelled);
    runner->cancel(AttemptId{1});
    EXPECT_EQ(ended.size(), 1U);
}

TEST_F(AttemptRunnerTest, CancelsUnsentAttemptAsNotSent) {
    const AttemptId id = start();
    runner->cancelUnsent(id);
    ASSERT_EQ(ended.size(), 1U);
    EXPECT_EQ(ended[0].result.outcome, Outcome::notSent);
}

}  // namespace
}  // namespace gateway::net
