#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "net/transport/backoff.h"

namespace gateway::net::test {
namespace {

TEST(BackoffSpreadTest, SpreadsWaitsEvenlyUpToBoundThatDoublesUntilReset) {
    constexpr int kBackoffs = 400;
    constexpr int kTenths = 10;
    constexpr int kMaxPerTenth = 2 * kBackoffs / kTenths;  // twice as many as in an even spread
    const Duration initial = std::chrono::seconds(5);
    const Duration maximum = std::chrono::seconds(10);
    std::vector<int> firstWaits(kTenths);
    std::vector<int> thirdWaits(kTenths);
    const auto tenthOf = [&](Duration wait, Duration bound) {
        return static_cast<std::size_t>((wait - Duration(1)) * kTenths / bound);
    };
    for (std::uint64_t seed = 1; seed <= kBackoffs; ++seed) {
        Backoff backoff(initial, maximum, seed);
        const Duration first = backoff.next();
        const Duration second = backoff.next();
        const Duration third = backoff.next();
        EXPECT_LE(first, initial);
        EXPECT_LE(std::max(second, third), maximum);
        ++firstWaits[tenthOf(first, initial)];
        ++thirdWaits[tenthOf(third, maximum)];
        backoff.reset();
        EXPECT_LE(backoff.next(), initial);
    }
    for (const int waits : firstWaits) EXPECT_LT(waits, kMaxPerTenth);
    for (const int waits : thirdWaits) EXPECT_LT(waits, kMaxPerTenth);
}

}  // namespace
}  // namespace gateway::net::test
