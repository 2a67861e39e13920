#include "decision/engine/request_table.h"

#include <gtest/gtest.h>

namespace gateway {
namespace {

class RequestTableTest : public testing::Test {
protected:
    Request& add(const std::string& id) {
        RequestArrived arrival;
        arrival.request = RequestId(id);
        return requests.add(arrival, kNow);
    }

    static constexpr TimePoint kNow{std::chrono::seconds(100)};
    RequestTable requests;
};

TEST_F(RequestTableTest, FindsRequestByIdAndKey) {
    Request& request = add("r1");
    EXPECT_EQ(request.arrivedAt, kNow);
    EXPECT_EQ(requests.find(RequestId("r1")), &request);
    EXPECT_EQ(requests.find(request.key), &request);
    EXPECT_EQ(requests.find(RequestId("r2")), nullptr);
    EXPECT_EQ(requests.find(RequestKey::none), nullptr);
}

TEST_F(RequestTableTest, KeepsRequestUntilClosedWithoutAttemptInFlight) {
    Request& request = add("r1");
    request.attempts.push_back({0, kNow, false});
    requests.eraseIfDone(request);
    EXPECT_NE(requests.find(RequestId("r1")), nullptr) << "not closed";

    request.closed = true;
    requests.eraseIfDone(request);
    EXPECT_NE(requests.find(RequestId("r1")), nullptr) << "its attempt is in flight";

    request.attempts[0].ended = true;
    requests.eraseIfDone(request);
    EXPECT_EQ(requests.find(RequestId("r1")), nullptr);
}

TEST_F(RequestTableTest, NeverReusesKey) {
    Request& first = add("r1");
    const RequestKey key = first.key;
    first.closed = true;
    requests.eraseIfDone(first);
    EXPECT_NE(add("r1").key, key);
    EXPECT_EQ(requests.find(key), nullptr);
}

TEST(RequestTest, DistinguishesOutcomesThatProveNoExecution) {
    for (const Outcome outcome : {Outcome::rejected, Outcome::connectFailed, Outcome::notSent})
        EXPECT_TRUE(provesNotExecuted(outcome));
    for (const Outcome outcome :
         {Outcome::ok, Outcome::error, Outcome::timedOut, Outcome::reset, Outcome::cancelled})
        EXPECT_FALSE(provesNotExecuted(outcome));
}

}  // namespace
}  // namespace gateway
