#include "net/server/request_registry.h"

#include <gtest/gtest.h>

#include <memory>
#include <vector>

namespace gateway::net {
namespace {

class RequestRegistryTest : public ::testing::Test {
protected:
    // A client that is only compared, since the registry makes no calls to it.
    static std::shared_ptr<ClientSession> makeClient() {
        const auto storage = std::make_shared<char>();
        return {storage, reinterpret_cast<ClientSession*>(storage.get())};
    }

    static std::shared_ptr<const ForwardedRequest> makeForwarded() {
        return std::make_shared<const ForwardedRequest>();
    }

    bool addRequest() { return registry_.add(kRequest, makeForwarded(), client_); }

    AttemptId startAttempt(const EndpointId& endpoint) {
        const auto attempt = registry_.startAttempt(kRequest, endpoint);
        return attempt ? attempt->id : AttemptId::none;
    }

    const RequestId kRequest{"request"};
    const EndpointId kEndpoint{"endpoint"};
    std::shared_ptr<ClientSession> client_ = makeClient();
    RequestRegistry registry_;
};

TEST_F(RequestRegistryTest, ReturnsClientAndForwardedRequestOfRegisteredRequest) {
    const auto forwarded = makeForwarded();
    ASSERT_TRUE(registry_.add(kRequest, forwarded, client_));
    EXPECT_EQ(registry_.client(kRequest), client_);
    const auto attempt = registry_.startAttempt(kRequest, kEndpoint);
    ASSERT_TRUE(attempt);
    EXPECT_EQ(attempt->forwarded, forwarded);
    EXPECT_EQ(attempt->client, client_);
}

TEST_F(RequestRegistryTest, KnowsNothingOfUnregisteredRequest) {
    EXPECT_EQ(registry_.client(kRequest), nullptr);
    EXPECT_EQ(registry_.releaseClient(kRequest), nullptr);
    EXPECT_FALSE(registry_.startAttempt(kRequest, kEndpoint));
    EXPECT_EQ(registry_.attempt(kRequest, 0), AttemptId::none);
    EXPECT_TRUE(registry_.attempts(kRequest).empty());
    registry_.removeIfComplete(kRequest);
}

TEST_F(RequestRegistryTest, RejectsSecondRequestWithSameIdAndKeepsFirst) {
    ASSERT_TRUE(addRequest());
    EXPECT_FALSE(registry_.add(kRequest, makeForwarded(), makeClient()));
    EXPECT_EQ(registry_.client(kRequest), client_);
}

TEST_F(RequestRegistryTest, ReleasesClientOnce) {
    ASSERT_TRUE(addRequest());
    EXPECT_EQ(registry_.releaseClient(kRequest), client_);
    EXPECT_EQ(registry_.client(kRequest), nullptr);
    EXPECT_EQ(registry_.releaseClient(kRequest), nullptr);
}

TEST_F(RequestRegistryTest, NumbersAttemptsOfRequestFromZero) {
    ASSERT_TRUE(addRequest());
    const AttemptId first = startAttempt(kEndpoint);
    const AttemptId second = startAttempt(EndpointId{"other"});
    EXPECT_NE(first, second);
    EXPECT_EQ(registry_.attempt(kRequest, 0), first);
    EXPECT_EQ(registry_.attempt(kRequest, 1), second);
    EXPECT_EQ(registry_.attempt(kRequest, 2), AttemptId::none);
    EXPECT_EQ(registry_.attempts(kRequest), (std::vector<AttemptId>{first, second}));
    const auto ended = registry_.endAttempt(second);
    ASSERT_TRUE(ended);
    EXPECT_EQ(ended->request, kRequest);
    EXPECT_EQ(ended->endpoint, EndpointId{"other"});
    EXPECT_EQ(ended->number, 1);
}

TEST_F(RequestRegistryTest, KeepsNumbersOfEndedAttempts) {
    ASSERT_TRUE(addRequest());
    const AttemptId first = startAttempt(kEndpoint);
    ASSERT_TRUE(registry_.endAttempt(first));
    const AttemptId second = startAttempt(kEndpoint);
    EXPECT_EQ(registry_.attempt(kRequest, 0), first);
    EXPECT_EQ(registry_.attempt(kRequest, 1), second);
}

TEST_F(RequestRegistryTest, ReportsAtEndOfAttemptWhetherClientWaits) {
    ASSERT_TRUE(addRequest());
    const AttemptId first = startAttempt(kEndpoint);
    const AttemptId second = startAttempt(kEndpoint);
    EXPECT_TRUE(registry_.endAttempt(first)->isClientWaiting);
    registry_.releaseClient(kRequest);
    EXPECT_FALSE(registry_.startAttempt(kRequest, kEndpoint)->client);
    EXPECT_FALSE(registry_.endAttempt(second)->isClientWaiting);
}

TEST_F(RequestRegistryTest, EndsAttemptOnce) {
    ASSERT_TRUE(addRequest());
    const AttemptId attempt = startAttempt(kEndpoint);
    EXPECT_EQ(registry_.requestOf(attempt), kRequest);
    EXPECT_TRUE(registry_.endAttempt(attempt));
    EXPECT_EQ(registry_.requestOf(attempt), std::nullopt);
    EXPECT_FALSE(registry_.endAttempt(attempt));
}

TEST_F(RequestRegistryTest, KeepsRequestWhileClientWaits) {
    ASSERT_TRUE(addRequest());
    registry_.removeIfComplete(kRequest);
    EXPECT_EQ(registry_.client(kRequest), client_);
}

TEST_F(RequestRegistryTest, KeepsRequestWhileAttemptIsInFlight) {
    ASSERT_TRUE(addRequest());
    const AttemptId first = startAttempt(kEndpoint);
    const AttemptId second = startAttempt(kEndpoint);
    registry_.releaseClient(kRequest);
    registry_.endAttempt(first);
    registry_.removeIfComplete(kRequest);
    EXPECT_FALSE(addRequest());
    registry_.endAttempt(second);
    registry_.removeIfComplete(kRequest);
    EXPECT_TRUE(addRequest());
}

TEST_F(RequestRegistryTest, FreesIdOfCompleteRequest) {
    ASSERT_TRUE(addRequest());
    registry_.releaseClient(kRequest);
    registry_.removeIfComplete(kRequest);
    EXPECT_FALSE(registry_.startAttempt(kRequest, kEndpoint));
    EXPECT_TRUE(addRequest());
}

}  // namespace
}  // namespace gateway::net
