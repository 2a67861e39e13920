// Tests of WatchStream in a gateway process.
#include <gtest/gtest.h>

#include <string>

#include "support/gateway_test.h"

namespace gateway::net::test {
namespace {

class WatchStreamTest : public GatewayTest {
protected:
    void startGatewayWithoutEndpoints(const SettingsSpec& settings = {}) {
        GatewayOptions options;
        options.settings = settings;
        startGateway(options);
    }

    // Accepts a call and reads its request.
    Socket acceptCall() {
        Socket call = gateway().discovery().accept();
        call.receiveMessage();
        return call;
    }
    // Accepts a call, and expects it to watch the changes since version `index`.
    Socket acceptWatchFrom(int index) {
        Socket watch = gateway().discovery().accept();
        EXPECT_TRUE(contains(watch.receiveMessage(), "since=" + std::to_string(index) + " "));
        return watch;
    }
    bool isCalledAgain(int withinMs = 0) { return gateway().discovery().waitReadable(withinMs); }
};

// ---- Documents ------------------------------------------------------------------------------------------

TEST_F(WatchStreamTest, ResumesFromKnownVersionAndRemovesEndpointsMissingInSnapshot) {
    const Server newEndpoint;
    startGateway(withLongDrainGracePeriod());
    {
        Socket watch = gateway().discovery().accept();
        EXPECT_TRUE(contains(watch.receiveMessage(), "GET /api/targets?follow=1&since=41 "));
        watch.write(kChunkedHead + chunk("\n") + deltaChunk(43, {listedEndpoint("b", newEndpoint)}));
    }
    {
        const Socket watch = acceptWatchFrom(43);
        watch.write(kChunkedHead + snapshotChunk(50, {listedEndpoint("b", newEndpoint)}));
    }
    // The gateway applies a list before it calls again, so the second list is in force once the third watch
    // is open.
    const Socket watch = acceptWatchFrom(50);
    expectServedBy(gateway(), newEndpoint, 4);
    EXPECT_FALSE(endpoint.waitReadable(0));
}

// Guards against a complete list that is dropped, and with it the drain of an endpoint that it leaves out. A
// reset may have cut off the end of a list.
TEST_F(WatchStreamTest, AppliesSnapshotWithoutLengthOnceItsConnectionIsClosed) {
    const std::string withoutLength = "HTTP/1.1 200 OK\r\n\r\n";
    const Server newEndpoint, newDiscovery;
    startGateway(withLongDrainGracePeriod());
    gateway().reload(newDiscovery);
    const auto sendSnapshot = [&](int index, const Server& listed) {
        Socket call = newDiscovery.accept();
        EXPECT_TRUE(contains(call.receiveMessage(), "GET /api/targets HTTP/1.1\r\n"));
        call.write(withoutLength + snapshotDocument(index, {listedEndpoint("b", listed)}));
        return call;
    };
    sendSnapshot(60, endpoint).reset();
    sendSnapshot(61, newEndpoint).close();
    {
        Socket watch = newDiscovery.accept();
        EXPECT_TRUE(contains(watch.receiveMessage(), "since=61 "));
        watch.write(withoutLength + deltaDocument(62, {}));
    }
    EXPECT_TRUE(contains(newDiscovery.accept().receiveMessage(), "since=62 "));
    expectServedBy(gateway(), newEndpoint, 3);
    EXPECT_FALSE(endpoint.waitReadable(0));
}

// Neither a line break nor a bracket within a string ends a document.
TEST_F(WatchStreamTest, ParsesIndentedSplitAndConcatenatedDocuments) {
    const Server newEndpoint;
    startGateway(withLongDrainGracePeriod());
    ListedEndpoint listed = listedEndpoint("b", newEndpoint);
    listed.note = "}{ \\\" ]";
    const std::string split = snapshotDocument(43, {listed}, 2);
    {
        const Socket watch = acceptCall();
        watch.write(kChunkedHead + chunk("\n") + chunk(split.substr(0, 40)) +
                    chunk(split.substr(40) + "\n\n") +
                    chunk(snapshotDocument(44, {listed}, 4) + snapshotDocument(45, {listed})));
    }
    const Socket watch = acceptWatchFrom(45);
    expectServedBy(gateway(), newEndpoint, 3);
    EXPECT_FALSE(endpoint.waitReadable(0));
}

TEST_F(WatchStreamTest, EndsAtInvalidDocumentAndResumesFromLastValidVersion) {
    startGateway();
    int index = 42;
    for (const char* invalid : {"garbage\n", "{\"index\": 50, \"snapshot\"}\n",
                                "{\"index\": -1, \"snapshot\": true, \"endpoints\": []}\n",
                                "{\n  \"index\": 51,\n  \"snapshot\": true,\n  \"endpoints\": [{}]\n}\n"}) {
        SCOPED_TRACE(invalid);
        Socket watch = acceptCall();
        watch.write(kChunkedHead + deltaChunk(index, {}) + chunk(invalid));
        EXPECT_TRUE(watch.waitForClose());
        acceptWatchFrom(index).close();
        ++index;
    }
    Socket client = connectClient();
    const Socket connection = sendToEndpoint(client, safeRequest("r"));
    connection.write(okResponse("served"));
    EXPECT_EQ(statusOf(client.receiveMessage()), 200);
}

// Guards against a memory leak in a gateway whose endpoints are replaced continuously.
TEST_F(WatchStreamTest, ReleasesMemoryOfRemovedEndpoints) {
    constexpr int kRounds = 200;
    constexpr int kEndpointsPerRound = 100;
    constexpr long kMaxGrowthKilobytes = 6000;
    startGatewayWithoutEndpoints();
    const Socket watch = acceptCall();
    watch.write(kChunkedHead);
    int index = 42;
    // Sends a snapshot with one new endpoint, and returns once it is in force.
    const auto replaceAll = [&] {
        const std::string name = "last" + std::to_string(index);
        watch.write(snapshotChunk(++index, {listedEndpoint(name, endpoint)}));
        for (;;) {
            Socket client = connectClient();
            client.write(safeRequest(name).text());
            if (waitForReadable({&client, &endpoint}).back() != &endpoint) continue;
            acceptAttempt(endpoint).write(okResponseAndClose());
            EXPECT_EQ(statusOf(client.receiveMessage()), 200);
            return;
        }
    };
    replaceAll();
    const long before = gateway().residentKilobytes();
    for (int round = 0; round < kRounds; ++round) {
        ListedEndpoints added;
        ListedEndpoints removed;
        for (int i = 0; i < kEndpointsPerRound; ++i) {
            const std::string name = "s-" + std::to_string(round) + "-" + std::to_string(i);
            added.push_back(listedEndpoint(name, endpoint));
            removed.push_back(listedEndpoint(name, endpoint, "terminated"));
        }
        watch.write(deltaChunk(++index, added));
        watch.write(deltaChunk(++index, removed));
    }
    replaceAll();
    EXPECT_LT(gateway().residentKilobytes() - before, kMaxGrowthKilobytes);
}

// ---- Silence --------------------------------------------------------------------------------------------

// A watch whose connection is dead receives nothing, while a live one receives an empty line every 2 s.
TEST_F(WatchStreamTest, ReopensSilentWatchFromKnownVersion) {
    startGatewayWithoutEndpoints();
    Socket silent = acceptCall();
    const Socket next = acceptWatchFrom(kKnownIndex);
    EXPECT_TRUE(silent.waitForClose());
}

// The silence is measured from the last byte. The next watch is opened 2.3 s after it, and so before a
// request that arrives just after that byte times out after 3.9 s.
TEST_F(WatchStreamTest, ReopensSilentWatchInTimeAfterItsLastByte) {
    startGateway();
    const Socket watch = acceptCall();
    watch.write(kChunkedHead + chunk("\n"));
    Socket client = connectClient();
    client.write(safeRequest("r").withTimeout(std::chrono::milliseconds(3900)).text());
    EXPECT_NE(statusOf(client.receiveMessage()), 200);
    EXPECT_TRUE(isCalledAgain());
}

// ---- Discovery that is polled ---------------------------------------------------------------------------

class PolledWatchStreamTest : public WatchStreamTest {
protected:
    static constexpr int kPauseMs = 2000;  // shorter than the regular period of 4.5 s

    void SetUp() override {
        startGatewayWithoutEndpoints(withDiscovery(kPolledDiscovery, std::chrono::hours(1)));
    }
};

// Discovery is called sooner after a silence than after a rejection, because the update deadline of 6 s
// starts with the last byte.
TEST_F(PolledWatchStreamTest, ReopensSilentWatchSoonAndKeepsUnansweredCallOpen) {
    Socket watch = acceptCall();
    watch.write(kChunkedHead + chunk("\n"));
    Socket next = acceptWatchFrom(kKnownIndex);
    EXPECT_TRUE(watch.waitForClose());
    const Socket newer = acceptWatchFrom(kKnownIndex);
    EXPECT_FALSE(next.waitReadable(0));
    EXPECT_FALSE(isCalledAgain(kPauseMs));  // all gateways wait in the same queue
    newer.write(kChunkedHead + chunk("\n"));
    EXPECT_TRUE(next.waitForClose());
}

// The first call of a process is made at once, and the second in the gateway's next slot. A gateway that is
// rejected in its slot calls again a whole period later, because all gateways share the service.
TEST_F(PolledWatchStreamTest, WaitsForItsNextSlotAfterRejection) {
    for (int i = 0; i < 2; ++i) {
        Socket call = acceptCall();
        call.write(kUnavailableResponse);
        EXPECT_TRUE(call.waitForClose());
    }
    EXPECT_FALSE(isCalledAgain(kPauseMs));
}

}  // namespace
}  // namespace gateway::net::test
