// Simulates when a fleet of gateways calls discovery. Uses no sockets or clock.
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <iostream>
#include <queue>
#include <utility>
#include <vector>

#include "net/discovery/discovery_schedule.h"

namespace gateway::net::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1'800'000'000)};
constexpr int kFleetSize = 300;
constexpr std::uint64_t kSeed = 7;

double inSeconds(Duration duration) {
    return static_cast<double>(duration.count()) / 1e6;
}

// A schedule of random waits, for comparison. After a failure, a wait is drawn up to a bound that doubles
// from half of the maximum poll interval to all of it. After a silence, a wait is drawn up to 1 s.
class RandomSchedule {
public:
    RandomSchedule(Duration maxPollInterval, std::uint64_t seed)
        : backoff_(maxPollInterval / 2, maxPollInterval, seed) {}
    Duration delayAfterFailure(TimePoint) { return backoff_.next(); }
    Duration delayAfterSilence(TimePoint) { return backoff_.drawUpTo(seconds(1)); }
    Duration delayAfterReload(TimePoint) { return Duration::zero(); }
    Duration delayAfterUnanswered(TimePoint) { return kMaxSilence + backoff_.next(); }

private:
    Backoff backoff_;
};

class SlotSchedule : public DiscoverySchedule {
public:
    SlotSchedule(int index, Duration maxPollInterval)
        : DiscoverySchedule(forPolling(index, kFleetSize, maxPollInterval, kSeed)) {}
    Duration delayAfterUnanswered(TimePoint now) const { return delayAfterStart(now); }
};

// How all watches of a fleet end at the same time.
enum class Loss { broken, unanswered, silent, reload };

struct FleetResult {
    int maxCallsPerSecond = 0;
    int rejectedCalls = 0;
    double allKnownSeconds = 0;  // time from the end of the outage until every gateway knows the list
};

// Simulates a fleet that loses its watches at kStart and calls discovery again. Discovery serves 80 calls per
// second, one after another. It queues up to 20 calls and rejects the others.
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
            countCall(call.time);
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
                const TimePoint detected = kStart + kMaxSilence;
                return detected + schedule.delayAfterSilence(detected);
            }
            case Loss::reload:
                break;
        }
        return kStart + schedule.delayAfterReload(kStart);
    }

    void countCall(TimePoint time) {
        callsInLastSecond_.push_back(time);
        while (time - callsInLastSecond_.front() >= seconds(1)) callsInLastSecond_.pop_front();
        result_.maxCallsPerSecond =
            std::max(result_.maxCallsPerSecond, static_cast<int>(callsInLastSecond_.size()));
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
            ++result_.rejectedCalls;
            calls_.push({call.time + fleet_[call.gateway].delayAfterFailure(call.time), call.gateway});
            return;
        }
        idleAt_ += kServiceTime;
        result_.allKnownSeconds = std::max(result_.allKnownSeconds, inSeconds(idleAt_ - outageEnd_));
    }

    std::vector<Schedule> fleet_;
    Loss loss_;
    TimePoint outageEnd_;
    TimePoint idleAt_;  // when discovery will have served all calls that it has accepted
    std::priority_queue<Call, std::vector<Call>, std::greater<>> calls_;
    std::deque<TimePoint> callsInLastSecond_;
    FleetResult result_;
};

class PollingFleetTest : public testing::Test {
protected:
    // Simulates the loss of the watches with random waits and with slots, and prints both results.
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
                  << " calls in a second, " << result.rejectedCalls << " rejected, all known after "
                  << result.allKnownSeconds << " s\n";
    }
};

TEST_F(PollingFleetTest, SpreadsCallsAndMeetsDeadlineAfterRefusals) {
    simulate("refused for 8 s", Loss::broken, seconds(8));
    EXPECT_LE(withSlots.maxCallsPerSecond, 68);  // 300 in 4.5 s
    EXPECT_LT(withSlots.maxCallsPerSecond, withRandomWaits.maxCallsPerSecond);
    EXPECT_EQ(withSlots.rejectedCalls, 0);
    EXPECT_LE(withSlots.allKnownSeconds, 6);
}

TEST_F(PollingFleetTest, SpreadsCallsAndMeetsDeadlineAfterUnansweredCalls) {
    simulate("unanswered for 8 s", Loss::unanswered, seconds(8));
    EXPECT_LE(withSlots.maxCallsPerSecond, 68);
    EXPECT_EQ(withSlots.rejectedCalls, 0);
    EXPECT_LE(withSlots.allKnownSeconds, 6);
}

TEST_F(PollingFleetTest, SpreadsCallsWhenAllWatchesFallSilentAtOnce) {
    simulate("all silent at once", Loss::silent, seconds(0));
    EXPECT_LE(withSlots.maxCallsPerSecond, 150);
    EXPECT_LT(withSlots.maxCallsPerSecond, withRandomWaits.maxCallsPerSecond);
    EXPECT_LT(withSlots.rejectedCalls, withRandomWaits.rejectedCalls);
}

TEST_F(PollingFleetTest, SpreadsCallsWhenAllReloadAtOnce) {
    simulate("SIGHUP to all at once", Loss::reload, seconds(0));
    EXPECT_LT(withSlots.maxCallsPerSecond, withRandomWaits.maxCallsPerSecond);
    EXPECT_LT(withSlots.rejectedCalls, withRandomWaits.rejectedCalls);
    EXPECT_LT(withSlots.allKnownSeconds, withRandomWaits.allKnownSeconds);
}

}  // namespace
}  // namespace gateway::net::test
