#include "net/upstream/attempt_runner.h"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "net/transport/loopback_fixture.h"

namespace gateway::net {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr std::string_view kResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";

class AttemptRunnerTest : public test::LoopbackFixture {
protected:
    struct Ended {
        AttemptId id;
        AttemptResult result;
    };

    void SetUp() override {
        limits.drainGracePeriod = seconds(1);
        request->method = "GET";
        request->target = "/path";
        request->host = "host";
        request->id = "request";
        ResolvedEndpoint listed;
        listed.address = address();
        endpoint->update(listed);
        makeRunner();
    }

    void makeRunner() {
        AttemptRunner::Hooks hooks;
        hooks.onEnded = [this](AttemptId id, AttemptResult&& result) {
            ended.push_back({id, std::move(result)});
        };
        hooks.beforeSend = [this](AttemptId id) {
            if (beforeSend) beforeSend(id);
        };
        hooks.isWanted = [this](AttemptId) { return isWanted; };
        runner.emplace(ioContext, timers, idle, limits, std::move(hooks));
    }

    AttemptId start() {
        ++lastAttempt;
        const AttemptId id{lastAttempt};
        runner->start(id, endpoint, options, request);
        return id;
    }

    // Starts an attempt on a new connection and returns its peer once the request has come.
    tcp::socket startAndReceive() {
        start();
        tcp::socket peer = accept();
        receive(peer);
        return peer;
    }

    void respond(tcp::socket& peer, std::string_view response = kResponse) {
        const std::size_t endedBefore = ended.size();
        write(peer, response);
        runUntil([&] { return ended.size() > endedBefore; });
    }

    Outcome waitForOutcome() {
        runUntil([&] { return !ended.empty(); });
        return ended.empty() ? Outcome::ok : ended.back().result.outcome;
    }

    std::shared_ptr<ForwardedRequest> request = std::make_shared<ForwardedRequest>();
    std::shared_ptr<UpstreamEndpoint> endpoint = std::make_shared<UpstreamEndpoint>(EndpointId{"a"});
    IdleConnectionPool idle{timers, {seconds(60), Duration::zero()}};
    AttemptRunner::Limits limits;
    AttemptRunner::Options options{seconds(20), Duration::zero()};
    bool isWanted = true;
    std::function<void(AttemptId)> beforeSend;
    std::vector<Ended> ended;
    std::uint64_t lastAttempt = 0;
    std::optional<AttemptRunner> runner;
};

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
    limits.connections = 1;
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

TEST_F(AttemptRunnerTest, PassesOverInterimResponses) {
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

TEST_F(AttemptRunnerTest, EndsAsResetOnUnterminatedResponse) {
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

// ---- Between connecting and sending ---------------------------------------------------------------

TEST_F(AttemptRunnerTest, DoesNotSendUnwantedAttempt) {
    isWanted = false;
    start();
    tcp::socket peer = accept();
    EXPECT_EQ(waitForOutcome(), Outcome::notSent);
    EXPECT_TRUE(isClosedWithoutBytes(peer));
}

TEST_F(AttemptRunnerTest, DoesNotSendAttemptThatIsCancelledBeforeSend) {
    beforeSend = [this](AttemptId id) { runner->cancel(id); };
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

TEST_F(AttemptRunnerTest, DoesNotSendIfStartDeadlinePassesWhileConnecting) {
    options.startWithin = Duration(1);
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

// ---- Idle connections -----------------------------------------------------------------------------

TEST_F(AttemptRunnerTest, ReusesIdleConnection) {
    tcp::socket peer = startAndReceive();
    respond(peer);
    start();
    EXPECT_EQ(receive(peer).find("GET /path HTTP/1.1\r\n"), 0U);
}

TEST_F(AttemptRunnerTest, EvictsIdleConnectionOfAnotherEndpointForNewOne) {
    limits.connections = 1;
    makeRunner();
    tcp::socket peer = startAndReceive();
    respond(peer);
    const tcp::endpoint address = endpoint->address();
    endpoint = std::make_shared<UpstreamEndpoint>(EndpointId{"b"});
    ResolvedEndpoint listed;
    listed.address = address;
    endpoint->update(listed);
    const tcp::socket otherPeer = startAndReceive();
    EXPECT_TRUE(isClosedWithoutBytes(peer));
    EXPECT_EQ(ended.size(), 1U);
}

TEST_F(AttemptRunnerTest, ClosesConnectionAfterResponseOfDrainingEndpoint) {
    tcp::socket peer = startAndReceive();
    endpoint->startDraining(steady_clock::now());
    respond(peer);
    EXPECT_EQ(ended[0].result.outcome, Outcome::ok);
    EXPECT_TRUE(isClosedWithoutBytes(peer));
}

TEST_F(AttemptRunnerTest, ClosesIdleConnectionWhenUnexpectedBytesCome) {
    tcp::socket peer = startAndReceive();
    respond(peer);
    write(peer, kResponse);
    EXPECT_TRUE(isClosedWithoutBytes(peer));
    EXPECT_EQ(idle.take(*endpoint), nullptr);
}

TEST_F(AttemptRunnerTest, KeepsIdleConnectionsWhenResponseCameDuringTimedOutAttempt) {
    options.timeout = milliseconds(200);
    const tcp::socket timedOut = startAndReceive();
    options.timeout = seconds(20);
    tcp::socket answered = startAndReceive();
    respond(answered);
    runUntil([&] { return ended.size() == 2U; });
    EXPECT_EQ(ended[1].result.outcome, Outcome::timedOut);
    EXPECT_NE(idle.take(*endpoint), nullptr);
}

TEST_F(AttemptRunnerTest, ClosesIdleConnectionsWhenNoResponseComesDuringTimedOutAttempt) {
    tcp::socket first = startAndReceive();
    tcp::socket second = startAndReceive();
    respond(first);
    respond(second);
    options.timeout = milliseconds(50);
    start();
    receive(second);
    EXPECT_EQ(ended.size(), 2U);
    runUntil([&] { return ended.size() == 3U; });
    EXPECT_EQ(ended[2].result.outcome, Outcome::timedOut);
    EXPECT_TRUE(isClosedWithoutBytes(first));
}

}  // namespace
}  // namespace gateway::net
