// The watch of discovery's endpoint list, as a gateway process holds it.
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
    // The same, where the call must be a watch from the version `index`.
    Socket acceptWatchFrom(int index) {
        Socket watch = gateway().discovery().accept();
        EXPECT_TRUE(contains(watch.receiveMessage(), "since=" + std::to_string(index) + " "));
        return watch;
    }
    bool isCalledAgain(int withinMs = 0) { return gateway().discovery().waitReadable(withinMs); }
};

// ---- Documents ------------------------------------------------------------------------------------------

TEST_F(WatchStreamTest, ReconnectsFromKnownVersionAndRemovesEndpointsThatSnapshotLacks) {
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
    // A list is applied before the next one is requested: the third watch shows that it is in force.
    const Socket watch = acceptWatchFrom(50);
    expectServedBy(gateway(), newEndpoint, 4);
    EXPECT_FALSE(endpoint.waitReadable(0));
}

// The end of a line within an object does not end it, nor does a bracket within a string.
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

// In a fleet that is replaced all day, removed endpoints would be kept and walked through for ever.
TEST_F(WatchStreamTest, KeepsNoMemoryOfRemovedEndpoints) {
    constexpr int kRounds = 200;
    constexpr int kEndpointsPerRound = 100;
    constexpr long kMaxGrowthKilobytes = 6000;
    startGatewayWithoutEndpoints();
    const Socket watch = acceptCall();
    watch.write(kChunkedHead);
    int index = 42;
    // Returns once a snapshot that is sent here is in force.
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

// A watch that was cut off stays open without a byte; a live one brings an empty line every 2 s.
TEST_F(WatchStreamTest, ReopensSilentWatchFromKnownVersion) {
    startGatewayWithoutEndpoints();
    Socket silent = acceptCall();
    const Socket next = acceptWatchFrom(kKnownIndex);
    EXPECT_TRUE(silent.waitForClose());
}

// The silence counts from the last byte: another watch is open 2.3 s after that, so before a request that
// came just behind it has run out of its 3.9 s.
TEST_F(WatchStreamTest, ReopensWatchThatIsSilentAfterLastByteInTime) {
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
    static constexpr int kPauseMs = 2000;  // shorter than the usual period of 4.5 s

    void SetUp() override {
        startGatewayWithoutEndpoints(withDiscovery(kPolledDiscovery, std::chrono::hours(1)));
    }
};

// What a silent watch misses counts 6 s after its last byte, so it is called again sooner than one that
// rejects calls.
TEST_F(PolledWatchStreamTest, ReopensSilentWatchSoonAndKeepsUnansweredCallOpenBesideNewerOne) {
    Socket watch = acceptCall();
    watch.write(kChunkedHead + chunk("\n"));
    Socket next = acceptWatchFrom(kKnownIndex);
    EXPECT_TRUE(watch.waitForClose());
    const Socket newer = acceptWatchFrom(kKnownIndex);
    EXPECT_FALSE(next.waitReadable(0));
    EXPECT_FALSE(isCalledAgain(kPauseMs));  // the other gateways wait in the same queue
    newer.write(kChunkedHead + chunk("\n"));
    EXPECT_TRUE(next.waitForClose());
}

// It is one service for all gateways: one that it rejects at its own time comes again a period later. The
// first call of a process is made at once.
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
