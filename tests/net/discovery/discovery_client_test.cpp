// Tests of DiscoveryClient in a gateway process: when it calls discovery again, and which of two open calls
// it keeps.
#include <gtest/gtest.h>

#include <list>
#include <string>
#include <vector>

#include "support/failing_discovery.h"
#include "support/gateway_test.h"

namespace gateway::net::test {
namespace {

const std::string kSnapshotRequest = "GET /api/targets HTTP/1.1\r\n";

// ---- Fixture --------------------------------------------------------------------------------------------

// A gateway and two endpoints. The known endpoint is listed in the configuration and does not respond. The
// gateway can learn of the new endpoint only from discovery.
class ObservedGateway {
public:
    // `discovery`: the discovery service to call; null for one that the gateway process owns.
    explicit ObservedGateway(const std::string& mode, const Server* discovery = nullptr)
        : gateway(makeOptions(mode, discovery)) {}

    // Answers a call with a list of only the new endpoint, and waits until the list is in force.
    void answer(const Socket& call, int index) {
        call.write(kChunkedHead + snapshotChunk(index, {newEntry()}));
        expectNewEndpointInForce();
    }

    // Waits until a request is forwarded to the new endpoint.
    void expectNewEndpointInForce() {
        constexpr int kMaxRequests = 100;
        for (int i = 0; i < kMaxRequests; ++i) {
            Socket client = gateway.connectClient();
            const std::string id = "t" + std::to_string(++requestCount_);
            client.write(safeRequest(id).withoutQuota().withTimeout(std::chrono::seconds(1)).text());
            if (waitForReadable({&client, &newEndpoint_}).back() != &newEndpoint_) continue;
            acceptAttempt(newEndpoint_);
            return;
        }
        ADD_FAILURE() << "none of " << kMaxRequests << " requests was forwarded to the new endpoint";
    }

    ListedEndpoint knownEntry() const { return listedEndpoint("known", knownEndpoint_); }
    ListedEndpoint newEntry() const { return listedEndpoint("new", newEndpoint_); }

private:
    GatewayOptions makeOptions(const std::string& mode, const Server* discovery) const {
        GatewayOptions options;
        options.knownEndpoints = {knownEntry()};
        options.settings = withDiscovery(mode, std::chrono::hours(1));  // too long to matter
        if (discovery != nullptr) options.discovery = discovery->address();
        return options;
    }

    Server knownEndpoint_;
    Server newEndpoint_;
    int requestCount_ = 0;

public:
    GatewayProcess gateway;
};

// The parameter is the mode of discovery.
class DiscoveryClientTest : public testing::TestWithParam<std::string> {
protected:
    bool isPolled() const { return GetParam() == kPolledDiscovery; }

    static Socket acceptCall(ObservedGateway& observed) {
        Socket call = observed.gateway.discovery().accept();
        call.receiveMessage();
        return call;
    }

    // Fails one call of each gateway, and expects the next call before a request that is sent at the same
    // moment times out. The request serves as the clock because the same process measures its timeout: a
    // slow machine delays both.
    void expectCalledAgain(std::list<FailingDiscovery>& discoveries, std::list<ObservedGateway>& gateways,
                           const std::string& path) const {
        // Shorter than the update deadline, and longer than the longest wait for a slot.
        const std::chrono::milliseconds limit(isPolled() ? 5900 : 3900);
        std::vector<Socket> clients;
        auto observed = gateways.begin();
        for (FailingDiscovery& discovery : discoveries) {
            discovery.failCall(path);
            clients.push_back((observed++)->gateway.connectClient());
            clients.back().write(safeRequest("clock").withTimeout(limit).text());
        }
        auto client = clients.begin();
        for (const FailingDiscovery& discovery : discoveries) {
            EXPECT_NE(statusOf((client++)->receiveMessage()), 200) << discovery.failure();
            EXPECT_TRUE(discovery.server().waitReadable(0)) << discovery.failure();
        }
    }
};

INSTANTIATE_TEST_SUITE_P(Modes, DiscoveryClientTest, testing::Values(kPolledDiscovery, kPushedDiscovery),
                         [](const auto& parameter) {
                             return parameter.param == kPushedDiscovery ? "Push" : "Poll";
                         });

// ---- Calls that fail ------------------------------------------------------------------------------------

TEST_P(DiscoveryClientTest, CallsAgainInTimeAfterEveryFailureAtStart) {
    std::list<FailingDiscovery> discoveries;
    std::list<ObservedGateway> gateways;
    for (const CallFailure failure : kCallFailures) discoveries.emplace_back(failure);
    for (const FailingDiscovery& discovery : discoveries)
        gateways.emplace_back(GetParam(), &discovery.server());
    expectCalledAgain(discoveries, gateways, "since=41 ");
    auto observed = gateways.begin();
    for (const FailingDiscovery& discovery : discoveries) {
        const Socket call = discovery.acceptOpenCall("since=41 ");
        (observed++)->answer(call, 50);
    }
}

TEST_P(DiscoveryClientTest, CallsAgainInTimeAfterEveryFailureAfterReload) {
    std::list<FailingDiscovery> discoveries;
    std::list<ObservedGateway> gateways;
    for (const CallFailure failure : kCallFailures) {
        discoveries.emplace_back(failure);
        gateways.emplace_back(GetParam());
    }
    auto observed = gateways.begin();
    for (const FailingDiscovery& discovery : discoveries) {
        Socket watch = observed->gateway.discovery().accept();
        EXPECT_TRUE(contains(watch.receiveMessage(), "since=41 "));
        watch.write(kChunkedHead + deltaChunk(60, {}));
        (observed++)->gateway.reload(discovery.server());
        EXPECT_TRUE(watch.waitReadable());
    }
    expectCalledAgain(discoveries, gateways, kSnapshotRequest);
    observed = gateways.begin();
    for (const FailingDiscovery& discovery : discoveries) {
        Socket call = discovery.acceptOpenCall(kSnapshotRequest);
        call.write(okResponse(snapshotDocument(3, {observed->newEntry()})));
        EXPECT_TRUE(contains(call.receiveMessage(), "since=3 ")) << discovery.failure();
        (observed++)->expectNewEndpointInForce();
    }
}

// The gateway must know the new discovery's list 4 s after SIGHUP.
TEST_P(DiscoveryClientTest, CallsNewDiscoveryInTimeAfterReload) {
    const Server newDiscovery;
    ObservedGateway observed(GetParam());
    const Socket watch = acceptCall(observed);
    watch.write(kChunkedHead + chunk("\n"));
    Socket client = observed.gateway.connectClient();
    client.write(safeRequest("clock").withTimeout(std::chrono::milliseconds(3900)).text());
    observed.gateway.reload(newDiscovery);
    EXPECT_NE(statusOf(client.receiveMessage()), 200);
    EXPECT_TRUE(newDiscovery.waitReadable(0));
}

// ---- Two open calls -------------------------------------------------------------------------------------

// The older call is answered only after a newer one was made. Its list is accepted and the newer call closed.
TEST_P(DiscoveryClientTest, AcceptsListThatBeginsLateAtStart) {
    ObservedGateway observed(GetParam());
    const Socket slow = acceptCall(observed);
    Socket newer = observed.gateway.discovery().accept();
    EXPECT_TRUE(contains(newer.receiveMessage(), "since=41 "));
    EXPECT_FALSE(slow.waitReadable(0));
    observed.answer(slow, 50);
    EXPECT_TRUE(newer.waitForClose());
}

TEST_P(DiscoveryClientTest, AcceptsListThatBeginsLateAfterReload) {
    const Server newDiscovery;
    ObservedGateway observed(GetParam());
    acceptCall(observed);
    observed.gateway.reload(newDiscovery);
    Socket slow = newDiscovery.accept();
    slow.receiveMessage();
    Socket newer = newDiscovery.accept();
    EXPECT_TRUE(contains(newer.receiveMessage(), kSnapshotRequest));
    slow.write(okResponse(snapshotDocument(3, {observed.newEntry()})));
    EXPECT_TRUE(newer.waitForClose());
    observed.expectNewEndpointInForce();
    // The watch after the snapshot also stays open while it is unanswered and a newer call is made.
    EXPECT_TRUE(contains(slow.receiveMessage(), "since=3 "));
    newer = newDiscovery.accept();
    EXPECT_TRUE(contains(newer.receiveMessage(), "since=3 "));
    slow.write(kChunkedHead + snapshotChunk(4, {observed.knownEntry()}));
    EXPECT_TRUE(newer.waitForClose());
}

// A response header alone does not close the newer call, and an interrupted list may continue.
TEST_P(DiscoveryClientTest, AcceptsListThatContinuesAfterInterruption) {
    constexpr std::size_t kFirstPart = 30;
    ObservedGateway observed(GetParam());
    const Socket slow = acceptCall(observed);
    const std::string list = snapshotDocument(50, {observed.newEntry()});
    slow.write(kChunkedHead);
    Socket newer = acceptCall(observed);
    slow.write(chunk(list.substr(0, kFirstPart)));
    EXPECT_TRUE(newer.waitForClose());
    newer = observed.gateway.discovery().accept();  // at the earliest 2.3 s after the first part
    EXPECT_TRUE(contains(newer.receiveMessage(), "since=41 "));
    slow.write(chunk(list.substr(kFirstPart)));
    EXPECT_TRUE(newer.waitForClose());
    observed.expectNewEndpointInForce();
}

TEST_P(DiscoveryClientTest, ClosesOlderCallWhenNewerOneIsAnsweredFirst) {
    ObservedGateway observed(GetParam());
    Socket older = acceptCall(observed);
    const Socket newer = acceptCall(observed);
    observed.answer(newer, 50);
    EXPECT_TRUE(older.waitForClose());
}

// A rejection is no list, so it does not close the other call.
TEST_P(DiscoveryClientTest, KeepsOtherCallOpenWhenOneIsRejected) {
    for (const bool rejectsOlder : {false, true}) {
        SCOPED_TRACE(rejectsOlder ? "the older one is rejected" : "the newer one is rejected");
        ObservedGateway observed(GetParam());
        Socket older = acceptCall(observed);
        Socket newer = acceptCall(observed);
        Socket& rejected = rejectsOlder ? older : newer;
        rejected.write(kUnavailableResponse);
        EXPECT_TRUE(rejected.waitForClose());
        observed.answer(rejectsOlder ? newer : older, 50);
    }
}

// Calls that are never answered must not use more than two descriptors.
TEST_P(DiscoveryClientTest, KeepsNewestTwoUnansweredCallsOpen) {
    ObservedGateway observed(GetParam());
    Socket first = observed.gateway.discovery().accept();
    Socket second = observed.gateway.discovery().accept();
    EXPECT_FALSE(first.receiveMessage().empty());
    EXPECT_FALSE(second.receiveMessage().empty());
    Socket third = observed.gateway.discovery().accept();
    EXPECT_FALSE(third.receiveMessage().empty());
    EXPECT_TRUE(first.waitForClose());
    EXPECT_FALSE(second.waitReadable(0));
    observed.answer(second, 50);
    EXPECT_TRUE(third.waitForClose());
}

TEST_P(DiscoveryClientTest, ClosesBothCallsAndRequestsSnapshotAfterReload) {
    const Server newDiscovery;
    ObservedGateway observed(GetParam());
    Socket first = acceptCall(observed);
    Socket second = acceptCall(observed);
    observed.gateway.reload(newDiscovery);
    EXPECT_TRUE(first.waitForClose());
    EXPECT_TRUE(second.waitForClose());
    EXPECT_TRUE(contains(newDiscovery.accept().receiveMessage(), kSnapshotRequest));
}

TEST_P(DiscoveryClientTest, ExitsOnSigtermWithBothCallsOpen) {
    ObservedGateway observed(GetParam());
    const Socket first = observed.gateway.discovery().accept();
    const Socket second = observed.gateway.discovery().accept();
    observed.gateway.terminate();
    EXPECT_EQ(observed.gateway.waitForExit(), 0);
}

// Guards against changes that arrive late on a silent watch, after newer ones of the next watch.
TEST_P(DiscoveryClientTest, ClosesSilentWatchBeforeNextCall) {
    ObservedGateway observed(GetParam());
    Socket watch = acceptCall(observed);
    watch.write(kChunkedHead + snapshotChunk(45, {observed.knownEntry()}));
    EXPECT_TRUE(watch.waitForClose());
    Socket next = observed.gateway.discovery().accept();
    EXPECT_TRUE(contains(next.receiveMessage(), "since=45 "));
    observed.answer(next, 46);
}

}  // namespace
}  // namespace gateway::net::test
