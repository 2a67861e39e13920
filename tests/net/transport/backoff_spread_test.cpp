#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "net/transport/backoff.h"

namespace gateway::net::test {
namespace {

TEST(BackoffSpreadTest, DistributesWaitsEvenlyUpToBoundThatDoublesUntilReset) {
    constexpr int kBackoffs = 400;
    constexpr int kBuckets = 10;
    constexpr int kMaxPerBucket = 2 * kBackoffs / kBuckets;  // twice the expected number
    const Duration initial = std::chrono::seconds(5);
    const Duration maximum = std::chrono::seconds(10);
    std::vector<int> firstWaits(kBuckets);
    std::vector<int> thirdWaits(kBuckets);
    const auto bucketOf = [&](Duration wait, Duration bound) {
        return static_cast<std::size_t>((wait - Duration(1)) * kBuckets / bound);
    };
    for (std::uint64_t seed = 1; seed <= kBackoffs; ++seed) {
        Backoff backoff(initial, maximum, seed);
        const Duration first = backoff.next();
        const Duration second = backoff.next();
        const Duration third = backoff.next();
        EXPECT_LE(first, initial);
        EXPECT_LE(std::max(second, third), maximum);
        ++firstWaits[bucketOf(first, initial)];
        ++thirdWaits[bucketOf(third, maximum)];
        backoff.reset();
        EXPECT_LE(backoff.next(), initial);
    }
    for (const int waits : firstWaits) EXPECT_LT(waits, kMaxPerBucket);
    for (const int waits : thirdWaits) EXPECT_LT(waits, kMaxPerBucket);
}

}  // namespace
}  // namespace gateway::net::test
