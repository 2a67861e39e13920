#include "net/server/request_registry.h"

#include <gtest/gtest.h>

#include <memory>
#include <vector>

namespace gateway::net {
namespace {

class RequestRegistryTest : public ::testing::Test {
protected:
    // Returns a pointer that stands for a client. It must not be dereferenced; the registry only stores it.
    static std::shared_ptr<ClientSession> makeClient() {
        const auto storage = std::make_shared<char>();
        return {storage, reinterpret_cast<ClientSession*>(storage.get())};
    }

    static std::shared_ptr<const ForwardedRequest> makeForwarded() {
        return std::make_shared<const ForwardedRequest>();
    }

    bool addRequest() { return registry.add(kRequest, makeForwarded(), client); }

    AttemptId addAttempt(const EndpointId& endpoint) {
        const auto attempt = registry.addAttempt(kRequest, endpoint);
        return attempt ? attempt->id : AttemptId::none;
    }

    const RequestId kRequest{"request"};
    const EndpointId kEndpoint{"endpoint"};
    std::shared_ptr<ClientSession> client = makeClient();
    RequestRegistry registry;
};

TEST_F(RequestRegistryTest, ReturnsClientAndForwardedRequestOfRegisteredRequest) {
    const auto forwarded = makeForwarded();
    ASSERT_TRUE(registry.add(kRequest, forwarded, client));
    EXPECT_EQ(registry.client(kRequest), client);
    const auto attempt = registry.addAttempt(kRequest, kEndpoint);
    ASSERT_TRUE(attempt);
    EXPECT_EQ(attempt->forwarded, forwarded);
    EXPECT_EQ(attempt->client, client);
}

TEST_F(RequestRegistryTest, ReturnsNothingForUnregisteredRequest) {
    EXPECT_EQ(registry.client(kRequest), nullptr);
    EXPECT_EQ(registry.releaseClient(kRequest), nullptr);
    EXPECT_FALSE(registry.addAttempt(kRequest, kEndpoint));
    EXPECT_EQ(registry.attempt(kRequest, 0), AttemptId::none);
    EXPECT_TRUE(registry.attempts(kRequest).empty());
    registry.removeIfComplete(kRequest);
}

TEST_F(RequestRegistryTest, RejectsSecondRequestWithSameIdAndKeepsFirst) {
    ASSERT_TRUE(addRequest());
    EXPECT_FALSE(registry.add(kRequest, makeForwarded(), makeClient()));
    EXPECT_EQ(registry.client(kRequest), client);
}

TEST_F(RequestRegistryTest, ReleasesClientOnce) {
    ASSERT_TRUE(addRequest());
    EXPECT_EQ(registry.releaseClient(kRequest), client);
    EXPECT_EQ(registry.client(kRequest), nullptr);
    EXPECT_EQ(registry.releaseClient(kRequest), nullptr);
}

TEST_F(RequestRegistryTest, NumbersAttemptsOfRequestFromZero) {
    ASSERT_TRUE(addRequest());
    const AttemptId first = addAttempt(kEndpoint);
    const AttemptId second = addAttempt(EndpointId{"other"});
    EXPECT_NE(first, second);
    EXPECT_EQ(registry.attempt(kRequest, 0), first);
    EXPECT_EQ(registry.attempt(kRequest, 1), second);
    EXPECT_EQ(registry.attempt(kRequest, 2), AttemptId::none);
    EXPECT_EQ(registry.attempts(kRequest), (std::vector<AttemptId>{first, second}));
    const auto ended = registry.recordAttemptEnded(second);
    ASSERT_TRUE(ended);
    EXPECT_EQ(ended->request, kRequest);
    EXPECT_EQ(ended->endpoint, EndpointId{"other"});
    EXPECT_EQ(ended->number, 1);
}

TEST_F(RequestRegistryTest, KeepsNumbersOfEndedAttempts) {
    ASSERT_TRUE(addRequest());
    const AttemptId first = addAttempt(kEndpoint);
    ASSERT_TRUE(registry.recordAttemptEnded(first));
    const AttemptId second = addAttempt(kEndpoint);
    EXPECT_EQ(registry.attempt(kRequest, 0), first);
    EXPECT_EQ(registry.attempt(kRequest, 1), second);
}

TEST_F(RequestRegistryTest, ReportsAtEndOfAttemptWhetherClientWaits) {
    ASSERT_TRUE(addRequest());
    const AttemptId first = addAttempt(kEndpoint);
    const AttemptId second = addAttempt(kEndpoint);
    EXPECT_TRUE(registry.recordAttemptEnded(first)->isClientWaiting);
    registry.releaseClient(kRequest);
    EXPECT_FALSE(registry.addAttempt(kRequest, kEndpoint)->client);
    EXPECT_FALSE(registry.recordAttemptEnded(second)->isClientWaiting);
}

TEST_F(RequestRegistryTest, EndsAttemptOnce) {
    ASSERT_TRUE(addRequest());
    const AttemptId attempt = addAttempt(kEndpoint);
    EXPECT_EQ(registry.requestOf(attempt), kRequest);
    EXPECT_TRUE(registry.recordAttemptEnded(attempt));
    EXPECT_EQ(registry.requestOf(attempt), std::nullopt);
    EXPECT_FALSE(registry.recordAttemptEnded(attempt));
}

TEST_F(RequestRegistryTest, KeepsRequestWhileClientWaits) {
    ASSERT_TRUE(addRequest());
    registry.removeIfComplete(kRequest);
    EXPECT_EQ(registry.client(kRequest), client);
}

TEST_F(RequestRegistryTest, KeepsRequestWhileAttemptIsInFlight) {
    ASSERT_TRUE(addRequest());
    const AttemptId first = addAttempt(kEndpoint);
    const AttemptId second = addAttempt(kEndpoint);
    registry.releaseClient(kRequest);
    registry.recordAttemptEnded(first);
    registry.removeIfComplete(kRequest);
    EXPECT_FALSE(addRequest());
    registry.recordAttemptEnded(second);
    registry.removeIfComplete(kRequest);
    EXPECT_TRUE(addRequest());
}

TEST_F(RequestRegistryTest, FreesIdOfCompleteRequest) {
    ASSERT_TRUE(addRequest());
    registry.releaseClient(kRequest);
    registry.removeIfComplete(kRequest);
    EXPECT_FALSE(registry.addAttempt(kRequest, kEndpoint));
    EXPECT_TRUE(addRequest());
}

}  // namespace
}  // namespace gateway::net
