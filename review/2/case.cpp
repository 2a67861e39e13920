// Clients that connect by the hundred, say nothing, and come again when they are turned away. Checks that the
// gateway stays within its memory, as the platform kills it otherwise.
#include <poll.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <thread>
#include <vector>

#include "../common/clients.h"
#include "../common/deployment.h"
#include "../common/record.h"

namespace {

using namespace review;

constexpr int kMemoryMb = 48;        // 32 to 192 are allowed
constexpr int kSilentClients = 160;  // "by the hundred"
constexpr double kQuietSeconds = 3;
constexpr double kTroubleSeconds = 90;
constexpr double kRequestsPerSecond = 30;  // of usual clients, at each of two gateways: 61 in all

struct State {
    std::atomic<bool> isOver{false};
    std::atomic<long> connections{0};
};

// Connects all clients, and each again as soon as the gateway has closed its connection.
void runSilentClients(int port, State& state) {
    std::vector<Socket> clients(kSilentClients);
    std::vector<pollfd> polled(kSilentClients);
    while (!state.isOver) {
        for (std::size_t i = 0; i < clients.size(); ++i) {
            if (!clients[i].isOpen()) {
                clients[i] = connectTo(port);
                ++state.connections;
            }
            polled[i] = {clients[i].fd(), POLLIN, 0};
        }
        ::poll(polled.data(), polled.size(), 10);
        for (std::size_t i = 0; i < clients.size(); ++i)
            if (polled[i].revents != 0)
                clients[i].close();  // the gateway has ended it; there is nothing to read
    }
}

// Watches the gateway's memory ten times a second, and kills it as the platform does. Returns whether it did.
bool watchMemory(GatewayProcess& gateway, State& state, double seconds, double& peak) {
    const double end = elapsed() + seconds;
    for (int tick = 0; elapsed() < end && gateway.isRunning(); ++tick) {
        const double used = gateway.residentMb();
        peak = std::max(peak, used);
        if (tick % 20 == 0)
            record("the gateway uses " + std::to_string(used) + " MB after " +
                   std::to_string(state.connections) + " connections of silent clients");
        if (used > kMemoryMb) {
            record("the platform kills the gateway: it uses " + std::to_string(used) + " MB of " +
                   std::to_string(kMemoryMb));
            gateway.signal(SIGKILL);
            return true;
        }
        sleepSeconds(0.1);
    }
    return false;
}

}  // namespace

int main(int, char** arguments) {
    openRecord(arguments[1]);
    DeploymentOptions options;
    options.memoryMb = kMemoryMb;
    Deployment deployment(options);
    GatewayProcess& gateway = deployment.gateway(0);
    State state;
    std::vector<Result> results;
    std::thread usual([&] {
        UsualClients clients(gateway.port());
        while (!state.isOver)
            for (const Result& result : clients.run(kRequestsPerSecond, 1)) results.push_back(result);
    });
    sleepSeconds(kQuietSeconds);
    record("the gateway uses " + std::to_string(gateway.residentMb()) + " MB before the trouble");
    std::thread silent([&] {
        if (isTroubled()) runSilentClients(gateway.port(), state);
    });
    double peak = 0;
    const bool isKilled = watchMemory(gateway, state, kTroubleSeconds, peak);
    sleepSeconds(0.2);
    const bool isRunning = gateway.isRunning();
    state.isOver = true;
    silent.join();
    usual.join();
    const auto answered = std::count_if(results.begin(), results.end(),
                                        [](const Result& result) { return result.status != 0; });
    char summary[240];
    std::snprintf(summary, sizeof summary,
                  "%ld silent connections, %.1f of %d MB at most, %s; %zu usual requests, %ld answered",
                  state.connections.load(), peak, kMemoryMb, isKilled ? "killed for memory" : "not killed",
                  results.size(), static_cast<long>(answered));
    record(summary);
    std::puts(summary);
    return isKilled || !isRunning ? 1 : 0;
}
