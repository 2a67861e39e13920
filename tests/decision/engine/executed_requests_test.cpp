#include "decision/engine/executed_requests.h"

#include <gtest/gtest.h>

#include <string>

namespace gateway {
namespace {

constexpr Duration kRetention = std::chrono::seconds(30);
constexpr TimePoint kNow{std::chrono::seconds(1000)};

TEST(ExecutedRequestsTest, RemembersRequestForItsRetentionTime) {
    ExecutedRequests requests(kRetention, 10);
    requests.add(RequestId("a"), kNow);
    EXPECT_TRUE(requests.contains(RequestId("a"), kNow + kRetention));
    EXPECT_FALSE(requests.contains(RequestId("b"), kNow + kRetention));
    EXPECT_FALSE(requests.contains(RequestId("a"), kNow + kRetention + Duration(1)));
}

TEST(ExecutedRequestsTest, ForgetsOldestRequestAtLimit) {
    ExecutedRequests requests(kRetention, 2);
    for (const std::string id : {"a", "b", "b", "c"}) requests.add(RequestId(id), kNow);
    EXPECT_FALSE(requests.contains(RequestId("a"), kNow));
    EXPECT_TRUE(requests.contains(RequestId("b"), kNow));
    EXPECT_TRUE(requests.contains(RequestId("c"), kNow));
}

}  // namespace
}  // namespace gateway
