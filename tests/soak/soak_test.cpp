// Soaks: a gateway with the least memory of the pages, usual clients, in some runs a crowd, signals in
// series, and a kill as early as it may come. SOAK_FIRST_SEED and SOAK_LAST_SEED choose the seeds.
#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <future>
#include <iostream>
#include <list>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "soak/soak_clients.h"
#include "soak/soak_endpoint.h"
#include "support/failing_system_calls.h"
#include "support/gateway_process.h"

namespace gateway::net::test {
namespace {

using std::chrono::milliseconds;

constexpr int kMemoryMegabytes = 32;
constexpr int kMaxSockets = 1024;
constexpr long kKilobytesPerMegabyte = 1024;
constexpr int kEndpoints = 4;
constexpr int kUsualClients = 16;
constexpr int kCrowdClients = 700;
constexpr milliseconds kDeadline{1000};
constexpr milliseconds kTimeUntilTermination{4000};
constexpr milliseconds kKillDelay = kDeadline + milliseconds(700);
constexpr int kManyFailures = 1'000'000;
constexpr double kMinServedShare = 0.5;  // of the usual clients' requests before SIGTERM

int seedFromEnvironment(const char* variable, int defaultSeed) {
    const char* const text = std::getenv(variable);
    return text == nullptr ? defaultSeed : std::atoi(text);
}

class SoakTest : public testing::TestWithParam<int> {
protected:
    SoakTest() {
        for (int i = 0; i < kEndpoints; ++i) endpoints.emplace_back(random());
        GatewayOptions options;
        int number = 0;
        for (const SoakEndpoint& endpoint : endpoints)
            options.knownEndpoints.push_back(
                listedEndpoint("e" + std::to_string(number++), endpoint.server()));
        options.settings.deadline = kDeadline;
        options.settings.latencyObjective = kDeadline / 2;
        options.memoryMegabytes = kMemoryMegabytes;
        options.maxSockets = kMaxSockets;
        options.timing.listenGracePeriod = Timing::kListenGrace;
        options.timing.idleGracePeriod = Timing::kIdleGrace;
        startGateway(options);
        for (SoakEndpoint& endpoint : endpoints) endpoint.start();
        const auto now = SoakSchedule::Clock::now();
        schedule = {kDeadline, now + kTimeUntilTermination, now + kTimeUntilTermination + kKillDelay};
    }

    // The periods of the process in service.
    struct Timing {
        static constexpr milliseconds kListenGrace{500};
        static constexpr milliseconds kIdleGrace{250};
    };

    // In every third run, system calls of the gateway fail for moments.
    void startGateway(const GatewayOptions& options) {
        if (GetParam() % 3 != 0) {
            gateway.emplace(options);
            return;
        }
        constexpr int kErrors[] = {EPROTO, ENFILE, ENOBUFS};
        const FailingSystemCall accept(SystemCall::accept, kErrors[random() % 3], 3, kManyFailures);
        const FailingSystemCall socket(SystemCall::socket, kErrors[random() % 2 + 1], 7, kManyFailures);
        const FailingSystemCall connect(SystemCall::connect, EADDRNOTAVAIL, 7, kManyFailures);
        gateway.emplace(options);
    }

    void startClients() {
        for (int i = 0; i < kUsualClients; ++i) {
            const std::uint64_t seed = random();
            results.push_back(std::async(std::launch::async, [this, seed] {
                return runUsualClient(gateway->port(), schedule, seed);
            }));
        }
        if (GetParam() % 2 != 0) return;
        const std::uint64_t seed = random();
        crowd =
            std::jthread([this, seed] { runCrowd(gateway->port(), kCrowdClients, seed, isCrowdStopped); });
    }

    // Sends SIGHUP in series until SIGTERM is due.
    void reloadUntilTermination() {
        while (SoakSchedule::Clock::now() < schedule.terminatedAt) {
            for (std::uint64_t i = random() % 4; i > 0; --i) gateway->reload(gateway->discovery());
            const auto pause = milliseconds(random() % 500);
            std::this_thread::sleep_until(
                std::min(SoakSchedule::Clock::now() + pause, schedule.terminatedAt));
            if (random() % 4 == 0) gateway->reload("{");
        }
    }

    void terminateAndKill() {
        EXPECT_FALSE(gateway->exitStatus()) << "the process ended by itself";
        EXPECT_LT(gateway->peakResidentKilobytes(), kMemoryMegabytes * kKilobytesPerMegabyte);
        for (std::uint64_t i = random() % 3 + 1; i > 0; --i) gateway->terminate();
        long peak = 0;
        while (SoakSchedule::Clock::now() < schedule.killedAt) {
            peak = std::max(peak, gateway->peakResidentKilobytes());
            std::this_thread::sleep_for(milliseconds(10));
        }
        EXPECT_LT(peak, kMemoryMegabytes * kKilobytesPerMegabyte);
        EXPECT_EQ(gateway->exitStatus().value_or(0), 0);
        gateway->kill();
        isCrowdStopped = true;
    }

    void checkRequests() {
        int sent = 0;
        int served = 0;
        for (auto& result : results) {
            for (const SoakRequest& request : result.get()) {
                EXPECT_NE(request.outcome, SoakOutcome::foreign) << request.id;
                EXPECT_NE(request.outcome, SoakOutcome::unanswered) << request.id << ":" << request.trace;
                if (!request.isRepeatable) unrepeatable.push_back(request.id);
                if (!request.isBeforeTermination) continue;
                ++sent;
                served += request.outcome == SoakOutcome::served ? 1 : 0;
            }
        }
        std::cout << "seed " << GetParam() << ": " << served << " of " << sent << " requests served\n";
        EXPECT_GE(served, sent * kMinServedShare);
    }

    void checkExecutions() const {
        std::map<std::string, int> executions;
        for (const SoakEndpoint& endpoint : endpoints)
            for (const auto& [id, count] : endpoint.executions()) executions[id] += count;
        for (const std::string& id : unrepeatable) EXPECT_LE(executions[id], 1) << id;
    }

    std::mt19937_64 random{static_cast<std::uint64_t>(GetParam())};
    std::list<SoakEndpoint> endpoints;
    std::optional<GatewayProcess> gateway;
    SoakSchedule schedule;
    std::vector<std::future<std::vector<SoakRequest>>> results;
    std::vector<std::string> unrepeatable;
    std::atomic<bool> isCrowdStopped = false;
    std::jthread crowd;
};

INSTANTIATE_TEST_SUITE_P(Seeds, SoakTest,
                         testing::Range(seedFromEnvironment("SOAK_FIRST_SEED", 1),
                                        seedFromEnvironment("SOAK_LAST_SEED", 8) + 1),
                         testing::PrintToStringParamName());

TEST_P(SoakTest, AnswersEachRequestWithinMemoryLimit) {
    startClients();
    reloadUntilTermination();
    terminateAndKill();
    checkRequests();
    checkExecutions();
}

}  // namespace
}  // namespace gateway::net::test
