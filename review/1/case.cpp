// Clients that stop in the middle of a request hold as many connections as the gateway allows. Checks that
// the usual clients' requests get their final answers all the same.
#include <cstdio>
#include <random>
#include <thread>
#include <vector>

#include "../common/clients.h"
#include "../common/deployment.h"
#include "../common/record.h"

namespace {

using namespace review;

constexpr int kBadClients = 160;  // "by the hundred"
constexpr double kReturnAfter = 0.25;
constexpr double kQuietSeconds = 3;
constexpr double kTroubleSeconds = 12;
constexpr double kRequestsPerSecond = 30;  // at each of two gateways: 61 in all

// Sends the first half of a request's head, waits for the error or the close that it is owed, and does the
// same again when it is turned away.
struct BadClient {
    Socket socket;
    double returnsAt = 0;
    int turnedAway = 0;
    double longestWait = 0;
    double connectedAt = 0;

    void act(int port) {
        if (!socket.isOpen()) {
            if (elapsed() < returnsAt) return;
            socket = connectTo(port);
            connectedAt = elapsed();
            const std::string text = makeRead(7, 4500).text;
            if (socket.isOpen()) socket.send(text.substr(0, text.size() / 2));
            return;
        }
        std::string answer;
        if (socket.receive(answer, 0) == Received::timedOut) return;
        longestWait = std::max(longestWait, elapsed() - connectedAt);
        ++turnedAway;
        socket.close();
        returnsAt = elapsed() + kReturnAfter;
    }
};

void runBadClients(int port, double until) {
    std::vector<BadClient> clients(kBadClients);
    record("trouble begins: " + std::to_string(kBadClients) + " clients stop in the middle of a request");
    while (elapsed() < until) {
        for (BadClient& client : clients) client.act(port);
        sleepSeconds(0.005);
    }
    int turnedAway = 0;
    double longest = 0;
    for (const BadClient& client : clients) {
        turnedAway += client.turnedAway;
        longest = std::max(longest, client.longestWait);
    }
    record("trouble ends: bad clients got an error or a close " + std::to_string(turnedAway) +
           " times, after " + std::to_string(longest) + " s at most");
}

}  // namespace

int main(int, char** arguments) {
    openRecord(arguments[1]);
    Deployment deployment(DeploymentOptions{});
    const int port = deployment.gateway(0).port();
    std::thread bad([port] {
        sleepSeconds(kQuietSeconds);
        if (isTroubled()) runBadClients(port, elapsed() + kTroubleSeconds);
    });
    UsualClients clients(port);
    const std::vector<Result> results = clients.run(kRequestsPerSecond, kQuietSeconds + kTroubleSeconds + 2);
    bad.join();
    int answered = 0;
    int lost = 0;
    int unanswered = 0;
    for (const Result& result : results) {
        if (result.status != 0) ++answered;
        if (result.status == 0) ++unanswered;
        if (result.wasReadAndClosed()) ++lost;
    }
    const bool isRunning = deployment.gateway(0).isRunning();
    char summary[200];
    std::snprintf(
        summary, sizeof summary,
        "%zu requests: %d answered, %d without an answer, %d of them read on a new connection and closed",
        results.size(), answered, unanswered, lost);
    record(summary);
    std::puts(summary);
    if (!isRunning || results.empty()) return 2;
    return lost > 0 ? 1 : 0;
}
