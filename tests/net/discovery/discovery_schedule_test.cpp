// Tests when one gateway calls discovery. Uses no sockets or clock.
#include "net/discovery/discovery_schedule.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <iostream>
#include <ostream>

namespace gateway::net::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1'800'000'000)};
constexpr int kFleetSize = 300;
constexpr std::uint64_t kSeed = 7;
constexpr Duration kMaxOutage = seconds(12);
constexpr Duration kOutageStep{49'999};  // divides no period, so the steps reach all phases of a slot

double inSeconds(Duration duration) {
    return static_cast<double>(duration.count()) / 1e6;
}

// ---- PollSlots ------------------------------------------------------------------------------------

TEST(PollSlotsTest, NextSlotIsWithinOnePeriodAndBelongsToTheGateway) {
    for (const int count : {1, 3, 100, 300}) {
        for (const Duration period : {Duration(milliseconds(1500)), Duration(milliseconds(4500))}) {
            for (int index = 0; index < count; ++index) {
                const PollSlots slots(index, count);
                for (TimePoint now = kStart; now < kStart + 2 * period; now += Duration(97'001)) {
                    const Duration wait = slots.untilNext(now, period);
                    ASSERT_GT(wait, Duration::zero());
                    ASSERT_LE(wait, period);
                    ASSERT_EQ((now + wait).time_since_epoch() % period, period * index / count);
                }
                // At the time of a slot, the next slot is a whole period away.
                const TimePoint slot = kStart + slots.untilNext(kStart, period);
                ASSERT_EQ(slots.untilNext(slot, period), period);
            }
        }
    }
}

struct SlotsCase {
    int index;
    int count;
};

TEST(PollSlotsTest, ClampsIndexAndCountOutOfRange) {
    for (const SlotsCase& invalid : {SlotsCase{-1, 3}, {3, 3}, {5, 0}, {0, 0}}) {
        const Duration wait = PollSlots(invalid.index, invalid.count).untilNext(kStart, seconds(4));
        EXPECT_GT(wait, Duration::zero());
        EXPECT_LE(wait, seconds(4));
    }
}

// ---- One gateway ----------------------------------------------------------------------------------

// How the watch fails at the start of an outage, and then every call during it.
enum class Failure { refused, notConnected, unanswered, rejected, broken, cutWithinList, silent };

constexpr std::array kFailures{Failure::refused,  Failure::notConnected, Failure::unanswered,
                               Failure::rejected, Failure::broken,       Failure::cutWithinList,
                               Failure::silent};

std::ostream& operator<<(std::ostream& out, Failure failure) {
    constexpr std::array kNames{"refused", "notConnected",  "unanswered", "rejected",
                                "broken",  "cutWithinList", "silent"};
    return out << kNames[static_cast<std::size_t>(failure)];
}

// Simulates the calls of one gateway during an outage, which all fail in the same way.
class OutageCalls {
public:
    OutageCalls(DiscoverySchedule& schedule, Failure failure) : schedule_(schedule), failure_(failure) {}

    // Returns the start of the first call at or after `end`, the end of the outage. `from` is when the call
    // before the outage was started, or when the watch received its last byte.
    TimePoint firstCallAfterOutage(TimePoint from, TimePoint end) {
        next_ = firstCall(from);
        while (next_ < end) failNextCall();
        return next_;
    }

private:
    TimePoint firstCall(TimePoint from) {
        switch (failure_) {
            case Failure::broken:
                return from + schedule_.delayAfterFailure(from);
            case Failure::silent: {
                const TimePoint detected = from + kMaxSilence;
                return detected + schedule_.delayAfterSilence(detected);
            }
            default:
                return from;
        }
    }

    void failNextCall() {
        const TimePoint start = next_;
        next_ += schedule_.delayAfterStart(start);
        switch (failure_) {
            case Failure::notConnected:
                break;
            case Failure::unanswered:
            case Failure::silent:
                sendRequest(start + milliseconds(2));
                break;
            case Failure::refused:
            case Failure::broken:
                fail(start + milliseconds(1));
                break;
            case Failure::rejected:
                sendRequest(start + milliseconds(2));
                fail(start + milliseconds(900));  // after a wait in discovery's queue
                break;
            case Failure::cutWithinList:
                sendRequest(start + milliseconds(2));
                fail(start + milliseconds(400));
                break;
        }
    }

    // Events of a call schedule the next call only if no newer call has been started.
    void sendRequest(TimePoint when) {
        if (when < next_) next_ = when + schedule_.delayAfterRequest(when);
    }
    void fail(TimePoint when) {
        if (when < next_) next_ = when + schedule_.delayAfterFailure(when);
    }

    DiscoverySchedule& schedule_;
    Failure failure_;
    TimePoint next_{};
};

// Returns the time from the end of the outage until a polling gateway knows the list.
Duration timeUntilKnown(int index, Duration maxPollInterval, Failure failure, Duration outage) {
    const TimePoint from = kStart + Duration(index * 41'003);
    const TimePoint end = from + outage;
    DiscoverySchedule schedule = DiscoverySchedule::forPolling(index, kFleetSize, maxPollInterval, kSeed);
    const TimePoint call = OutageCalls(schedule, failure).firstCallAfterOutage(from, end);
    // The gateway detects a silent watch only after kMaxSilence.
    const bool isDetectedLate = failure == Failure::silent && outage < kMaxSilence;
    return call + (isDetectedLate ? kAssumedCallTimeAfterSilence : kAssumedCallTime) - end;
}

TEST(DiscoveryScheduleTest, ListIsKnownByUpdateDeadlineAfterAnyFailureAndOutage) {
    Duration longest{};
    for (const Duration maxPollInterval : {Duration::zero(), Duration(seconds(1)), Duration(seconds(10))}) {
        for (int index = 0; index < kFleetSize; ++index) {
            for (const Failure failure : kFailures) {
                for (Duration outage{}; outage <= kMaxOutage; outage += kOutageStep) {
                    const Duration known = timeUntilKnown(index, maxPollInterval, failure, outage);
                    ASSERT_LE(known, kUpdateDeadline)
                        << failure << ", gateway " << index << ", outage " << inSeconds(outage) << " s";
                    longest = std::max(longest, known);
                }
            }
        }
    }
    std::cout << "longest: known " << inSeconds(longest) << " s after the outage, of which the call "
              << inSeconds(kAssumedCallTime) << " s\n";
    // Otherwise the gateway would call more often than the deadline requires.
    EXPECT_GT(longest, kUpdateDeadline - milliseconds(100));
}

TEST(DiscoveryScheduleTest, CallsAgentAgainAtOnce) {
    Duration longest{};
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        for (const Failure failure : kFailures) {
            for (Duration outage{}; outage <= kMaxOutage; outage += kOutageStep) {
                DiscoverySchedule schedule = DiscoverySchedule::forPush(seed);
                const TimePoint end = kStart + outage;
                const Duration wait = OutageCalls(schedule, failure).firstCallAfterOutage(kStart, end) - end;
                // A pending call is answered after the outage, but the gateway makes a newer one anyway.
                const bool isPending = failure == Failure::unanswered || failure == Failure::silent;
                ASSERT_LE(wait,
                          isPending ? kMaxSilence + milliseconds(2) : kPushConnectWait + milliseconds(200))
                    << failure;
                if (failure == Failure::refused || failure == Failure::broken)
                    longest = std::max(longest, wait);
            }
        }
    }
    EXPECT_LE(longest, milliseconds(201));
}

TEST(DiscoveryScheduleTest, CallsNewDiscoveryAgainByReloadDeadlineIfFirstCallIsRejected) {
    for (int index = 0; index < kFleetSize; ++index) {
        for (TimePoint reload = kStart; reload < kStart + seconds(5); reload += kOutageStep) {
            DiscoverySchedule schedule = DiscoverySchedule::forPolling(index, kFleetSize, seconds(10), kSeed);
            const TimePoint first = reload + schedule.delayAfterReload(reload);
            ASSERT_LE(first + kAssumedCallTime, reload + kReloadDeadline - seconds(1));
            const TimePoint rejected = first + milliseconds(5);
            const TimePoint second = rejected + schedule.delayAfterFailure(rejected);
            ASSERT_LE(second, reload + seconds(3));
            ASSERT_GE(second, first + milliseconds(1000));  // no immediate retry after a rejection
        }
    }
}

TEST(DiscoveryScheduleTest, CallsNewAgentAtOnceAfterReload) {
    DiscoverySchedule schedule = DiscoverySchedule::forPush(kSeed);
    EXPECT_EQ(schedule.delayAfterReload(kStart), Duration::zero());
}

TEST(DiscoveryScheduleTest, KeepsToMaxPollInterval) {
    for (const Duration maxPollInterval : {seconds(1), seconds(2), seconds(4)}) {
        for (int index = 0; index < kFleetSize; ++index) {
            DiscoverySchedule schedule =
                DiscoverySchedule::forPolling(index, kFleetSize, maxPollInterval, kSeed);
            for (TimePoint now = kStart; now < kStart + seconds(10); now += Duration(99'991)) {
                ASSERT_LE(schedule.delayAfterStart(now), maxPollInterval);
                ASSERT_LE(schedule.delayAfterFailure(now), maxPollInterval);
                ASSERT_LE(schedule.delayAfterSilence(now), maxPollInterval);
            }
        }
    }
}

}  // namespace
}  // namespace gateway::net::test
