// When discovery is called, by one gateway and by a fleet. No sockets, no clock.
#include "net/discovery/poll_schedule.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <iostream>
#include <ostream>
#include <queue>
#include <vector>

namespace gateway::net::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1'800'000'000)};
constexpr int kFleetSize = 300;
constexpr std::uint64_t kSeed = 7;
constexpr Duration kMaxOutage = seconds(12);
constexpr Duration kOutageStep{49'999};  // no multiple of a period

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
                // In a slot, the next one is a whole period away.
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

// How the watch, and then every call during an outage, fails.
enum class Failure { refused, notConnected, unanswered, rejected, broken, cutWithinList, silent };

constexpr std::array kFailures{Failure::refused,  Failure::notConnected, Failure::unanswered,
                               Failure::rejected, Failure::broken,       Failure::cutWithinList,
                               Failure::silent};

std::ostream& operator<<(std::ostream& out, Failure failure) {
    constexpr std::array kNames{"refused", "notConnected",  "unanswered", "rejected",
                                "broken",  "cutWithinList", "silent"};
    return out << kNames[static_cast<std::size_t>(failure)];
}

// The calls of one gateway during an outage, all of which fail in the same way.
class OutageCalls {
public:
    OutageCalls(PollSchedule& schedule, Failure failure) : schedule_(schedule), failure_(failure) {}

    // Returns when the first call starts at or after `end`, the end of the outage. `from`: when the call
    // before the outage was started, or the watch sent its last byte.
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
                const TimePoint noticed = from + kMaxSilence;
                return noticed + schedule_.delayAfterSilence(noticed);
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

    // A call schedules the next one only if no newer call has started since.
    void sendRequest(TimePoint when) {
        if (when < next_) next_ = when + schedule_.delayAfterRequest(when);
    }
    void fail(TimePoint when) {
        if (when < next_) next_ = when + schedule_.delayAfterFailure(when);
    }

    PollSchedule& schedule_;
    Failure failure_;
    TimePoint next_{};
};

// Returns how long after the outage a polling gateway knows the list.
Duration timeUntilKnown(int index, Duration maxPollInterval, Failure failure, Duration outage) {
    const TimePoint from = kStart + Duration(index * 41'003);
    const TimePoint end = from + outage;
    PollSchedule schedule = PollSchedule::poll(index, kFleetSize, maxPollInterval, kSeed);
    const TimePoint call = OutageCalls(schedule, failure).firstCallAfterOutage(from, end);
    // A watch is noticed to be silent only after kMaxSilence.
    const bool isNoticedLate = failure == Failure::silent && outage < kMaxSilence;
    return call + (isNoticedLate ? kMaxCallTimeAfterSilence : kMaxCallTime) - end;
}

TEST(PollScheduleTest, ListIsKnownByUpdateDeadlineHoweverCallsFailAndWheneverOutageEnds) {
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
              << inSeconds(kMaxCallTime) << " s\n";
    EXPECT_GT(longest, kUpdateDeadline - milliseconds(100));  // else it calls more often than needed
}

TEST(PollScheduleTest, CallsAgentAgainAtOnce) {
    Duration longest{};
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        for (const Failure failure : kFailures) {
            for (Duration outage{}; outage <= kMaxOutage; outage += kOutageStep) {
                PollSchedule schedule = PollSchedule::push(seed);
                const TimePoint end = kStart + outage;
                const Duration wait = OutageCalls(schedule, failure).firstCallAfterOutage(kStart, end) - end;
                // A call that is unanswered will be answered itself; a new one is made beside it all the
                // same.
                const bool isPending = failure == Failure::unanswered || failure == Failure::silent;
                ASSERT_LE(wait,
                          isPending ? kMaxSilence + milliseconds(2) : kMaxConnectTime + milliseconds(200))
                    << failure;
                if (failure == Failure::refused || failure == Failure::broken)
                    longest = std::max(longest, wait);
            }
        }
    }
    EXPECT_LE(longest, milliseconds(201));
}

TEST(PollScheduleTest, CallsNewDiscoveryAgainByReloadDeadlineIfFirstCallIsRejected) {
    for (int index = 0; index < kFleetSize; ++index) {
        for (TimePoint reload = kStart; reload < kStart + seconds(5); reload += kOutageStep) {
            PollSchedule schedule = PollSchedule::poll(index, kFleetSize, seconds(10), kSeed);
            const TimePoint first = reload + schedule.delayAfterReload(reload);
            ASSERT_LE(first + kMaxCallTime, reload + kReloadDeadline - seconds(1));
            const TimePoint rejected = first + milliseconds(5);
            const TimePoint second = rejected + schedule.delayAfterFailure(rejected);
            ASSERT_LE(second, reload + seconds(3));
            ASSERT_GE(second, first + milliseconds(1000));  // not at once after a rejection
        }
    }
}

TEST(PollScheduleTest, CallsNewAgentAtOnceAfterReload) {
    PollSchedule schedule = PollSchedule::push(kSeed);
    EXPECT_EQ(schedule.delayAfterReload(kStart), Duration::zero());
}

TEST(PollScheduleTest, KeepsToMaxPollInterval) {
    for (const Duration maxPollInterval : {seconds(1), seconds(2), seconds(4)}) {
        for (int index = 0; index < kFleetSize; ++index) {
            PollSchedule schedule = PollSchedule::poll(index, kFleetSize, maxPollInterval, kSeed);
            for (TimePoint now = kStart; now < kStart + seconds(10); now += Duration(99'991)) {
                ASSERT_LE(schedule.delayAfterStart(now), maxPollInterval);
                ASSERT_LE(schedule.delayAfterFailure(now), maxPollInterval);
                ASSERT_LE(schedule.delayAfterSilence(now), maxPollInterval);
            }
        }
    }
}

// ---- A fleet --------------------------------------------------------------------------------------

// For comparison: a schedule of random waits. After a failure they are drawn up to a bound that doubles from
// half of the maximal poll interval to all of it; after a silence, up to a second.
class RandomSchedule {
public:
    RandomSchedule(Duration maxPollInterval, std::uint64_t seed)
        : backoff_(maxPollInterval / 2, maxPollInterval, seed) {}
    Duration delayAfterFailure(TimePoint) { return backoff_.next(); }
    Duration delayAfterSilence(TimePoint) { return backoff_.within(seconds(1)); }
    Duration delayAfterReload(TimePoint) { return Duration::zero(); }
    Duration delayAfterUnanswered(TimePoint) { return kMaxSilence + backoff_.next(); }

private:
    Backoff backoff_;
};

class SlotSchedule : public PollSchedule {
public:
    SlotSchedule(int index, Duration maxPollInterval)
        : PollSchedule(poll(index, kFleetSize, maxPollInterval, kSeed)) {}
    Duration delayAfterUnanswered(TimePoint now) const { return delayAfterStart(now); }
};

// What happens to all watches of a fleet at the same time.
enum class Loss { broken, unanswered, silent, reload };

struct FleetResult {
    int maxCallsPerSecond = 0;
    int rejected = 0;
    double lastKnownSeconds = 0;  // from the end of the outage until every gateway knows the list
};

// A fleet that loses its watches at kStart and calls discovery again. Discovery serves 80 calls a second, one
// after another; up to 20 wait, and it rejects more.
template <class Schedule>
class FleetSimulation {
public:
    FleetSimulation(std::vector<Schedule> fleet, Loss loss, Duration outage)
        : fleet_(std::move(fleet)), loss_(loss), outageEnd_(kStart + outage), idleAt_(outageEnd_) {}

    FleetResult run() {
        for (std::size_t gateway = 0; gateway < fleet_.size(); ++gateway)
            calls_.push({firstCall(fleet_[gateway]), gateway});
        while (!calls_.empty()) {
            const Call call = calls_.top();
            calls_.pop();
            countInLastSecond(call.time);
            if (call.time < outageEnd_)
                retryDuringOutage(call);
            else
                serveOrReject(call);
        }
        return result_;
    }

private:
    static constexpr Duration kServiceTime = milliseconds(1000) / 80;
    static constexpr int kMaxQueued = 20;

    struct Call {
        TimePoint time{};
        std::size_t gateway = 0;
        bool operator>(const Call& other) const {
            return time != other.time ? time > other.time : gateway > other.gateway;
        }
    };

    TimePoint firstCall(Schedule& schedule) const {
        switch (loss_) {
            case Loss::broken:
            case Loss::unanswered:
                return kStart + schedule.delayAfterFailure(kStart);
            case Loss::silent: {
                const TimePoint noticed = kStart + kMaxSilence;
                return noticed + schedule.delayAfterSilence(noticed);
            }
            case Loss::reload:
                break;
        }
        return kStart + schedule.delayAfterReload(kStart);
    }

    void countInLastSecond(TimePoint time) {
        lastSecond_.push_back(time);
        while (time - lastSecond_.front() >= seconds(1)) lastSecond_.pop_front();
        result_.maxCallsPerSecond = std::max(result_.maxCallsPerSecond, static_cast<int>(lastSecond_.size()));
    }

    void retryDuringOutage(const Call& call) {
        Schedule& schedule = fleet_[call.gateway];
        const Duration wait = loss_ == Loss::unanswered ? schedule.delayAfterUnanswered(call.time)
                                                        : schedule.delayAfterFailure(call.time);
        calls_.push({call.time + wait, call.gateway});
    }

    void serveOrReject(const Call& call) {
        idleAt_ = std::max(idleAt_, call.time);
        if (idleAt_ - call.time > kMaxQueued * kServiceTime) {
            ++result_.rejected;
            calls_.push({call.time + fleet_[call.gateway].delayAfterFailure(call.time), call.gateway});
            return;
        }
        idleAt_ += kServiceTime;
        result_.lastKnownSeconds = std::max(result_.lastKnownSeconds, inSeconds(idleAt_ - outageEnd_));
    }

    std::vector<Schedule> fleet_;
    Loss loss_;
    TimePoint outageEnd_;
    TimePoint idleAt_;  // when discovery has served the calls that it has accepted
    std::priority_queue<Call, std::vector<Call>, std::greater<>> calls_;
    std::deque<TimePoint> lastSecond_;
    FleetResult result_;
};

class PollingFleetTest : public testing::Test {
protected:
    // Simulates the loss with random waits and with slots, and prints both results.
    void simulate(const char* what, Loss loss, Duration outage) {
        constexpr Duration kMaxPollInterval = seconds(10);
        std::vector<RandomSchedule> randomFleet;
        std::vector<SlotSchedule> slotFleet;
        for (int index = 0; index < kFleetSize; ++index) {
            randomFleet.emplace_back(kMaxPollInterval, static_cast<std::uint64_t>(index + 1));
            slotFleet.emplace_back(index, kMaxPollInterval);
        }
        withRandomWaits = FleetSimulation(std::move(randomFleet), loss, outage).run();
        withSlots = FleetSimulation(std::move(slotFleet), loss, outage).run();
        print(what, "random waits", withRandomWaits);
        print(what, "slots", withSlots);
    }

    FleetResult withRandomWaits;
    FleetResult withSlots;

private:
    static void print(const char* what, const char* schedule, const FleetResult& result) {
        std::cout << what << ", " << schedule << ": at most " << result.maxCallsPerSecond
                  << " calls in a second, " << result.rejected << " rejected, all known after "
                  << result.lastKnownSeconds << " s\n";
    }
};

TEST_F(PollingFleetTest, SpreadsCallsAndMeetsDeadlineAfterRefusals) {
    simulate("refused for 8 s", Loss::broken, seconds(8));
    EXPECT_LE(withSlots.maxCallsPerSecond, 68);  // 300 in 4.5 s
    EXPECT_LT(withSlots.maxCallsPerSecond, withRandomWaits.maxCallsPerSecond);
    EXPECT_EQ(withSlots.rejected, 0);
    EXPECT_LE(withSlots.lastKnownSeconds, 6);
}

TEST_F(PollingFleetTest, SpreadsCallsAndMeetsDeadlineAfterUnansweredCalls) {
    simulate("unanswered for 8 s", Loss::unanswered, seconds(8));
    EXPECT_LE(withSlots.maxCallsPerSecond, 68);
    EXPECT_EQ(withSlots.rejected, 0);
    EXPECT_LE(withSlots.lastKnownSeconds, 6);
}

TEST_F(PollingFleetTest, SpreadsCallsWhenAllWatchesFallSilentAtOnce) {
    simulate("all silent at once", Loss::silent, seconds(0));
    EXPECT_LE(withSlots.maxCallsPerSecond, 150);
    EXPECT_LT(withSlots.maxCallsPerSecond, withRandomWaits.maxCallsPerSecond);
    EXPECT_LT(withSlots.rejected, withRandomWaits.rejected);
}

TEST_F(PollingFleetTest, SpreadsCallsWhenAllReloadAtOnce) {
    simulate("SIGHUP to all at once", Loss::reload, seconds(0));
    EXPECT_LT(withSlots.maxCallsPerSecond, withRandomWaits.maxCallsPerSecond);
    EXPECT_LT(withSlots.rejected, withRandomWaits.rejected);
    EXPECT_LT(withSlots.lastKnownSeconds, withRandomWaits.lastKnownSeconds);
}

}  // namespace
}  // namespace gateway::net::test
