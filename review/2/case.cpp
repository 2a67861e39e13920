// Customers that come just once. Checks that the gateway stays within its memory, as the platform kills it
// otherwise.
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

constexpr int kMemoryMb = 64;           // 32 to 192 are allowed
constexpr double kPerSecond = 4 * 140;  // "up to 140 requests a second", "up to four times as many"
constexpr double kSeconds = 85;
constexpr int kConnections = 64;  // fewer than a third of the 256 descriptors
constexpr std::uint64_t kRegularCustomers = 500;
constexpr std::uint64_t kFirstCustomer = 1'000'000;
constexpr double kWorkSeconds = 0.02;  // scaled to the rate

bool answerSoon(RecordsServer&, Socket& socket, const Message& request) {
    sleepSeconds(kWorkSeconds);
    const std::string body = RecordsServer::bodyOf(request.header("request-id"));
    return socket.send("HTTP/1.1 200 OK\r\nX-Settled: 1\r\nContent-Length: " + std::to_string(body.size()) +
                       "\r\n\r\n" + body);
}

struct Counts {
    std::atomic<int> sent{0};
    std::atomic<int> answered{0};
    std::atomic<int> unanswered{0};
    std::atomic<bool> isOver{false};
};

// One connection, on which one request follows the other. Each comes from a customer that never came before;
// without the trouble, from one of some hundreds of customers.
void runClient(int port, int number, Counts& counts) {
    const double start = elapsed();
    Socket socket;
    for (int i = 0; !counts.isOver; ++i) {
        sleepSeconds(start + (i + static_cast<double>(number) / kConnections) * kConnections / kPerSecond -
                     elapsed());
        if (!socket.isOpen()) socket = connectTo(port);
        const auto ordinal = static_cast<std::uint64_t>(counts.sent++);
        const Request request =
            makeRead(kFirstCustomer + (isTroubled() ? ordinal : ordinal % kRegularCustomers), 4500);
        Message answer;
        const bool isAnswered = socket.isOpen() && socket.send(request.text) &&
                                MessageReader(socket).read(answer, request.timeout) == Received::data;
        ++(isAnswered ? counts.answered : counts.unanswered);
        if (isAnswered) continue;
        record("request " + request.id + " got no answer");
        socket.close();
    }
}

}  // namespace

int main(int, char** arguments) {
    openRecord(arguments[1]);
    DeploymentOptions options;
    options.memoryMb = kMemoryMb;
    options.answer = answerSoon;
    Deployment deployment(options);
    GatewayProcess& gateway = deployment.gateway(0);
    Counts counts;
    std::vector<std::thread> clients;
    for (int i = 0; i < kConnections; ++i)
        clients.emplace_back([&, i] { runClient(gateway.port(), i, counts); });

    double peak = 0;
    bool isKilled = false;
    bool isRunning = true;
    const double end = elapsed() + kSeconds;
    for (int tick = 0; elapsed() < end && !isKilled && isRunning; ++tick) {
        sleepSeconds(0.1);
        isRunning = gateway.isRunning();
        const double used = gateway.residentMb();
        peak = std::max(peak, used);
        if (tick % 20 == 0)
            record("the gateway uses " + std::to_string(used) + " MB after " + std::to_string(counts.sent) +
                   " requests");
        if (used <= kMemoryMb) continue;
        record("the platform kills the gateway: it uses " + std::to_string(used) + " MB of " +
               std::to_string(kMemoryMb));
        gateway.signal(SIGKILL);
        isKilled = true;
    }
    sleepSeconds(0.5);
    counts.isOver = true;
    for (std::thread& client : clients) client.join();
    char summary[200];
    std::snprintf(summary, sizeof summary, "%d requests: %d answered, %d not; %.1f of %d MB at most; %s",
                  counts.sent.load(), counts.answered.load(), counts.unanswered.load(), peak, kMemoryMb,
                  isKilled ? "killed for memory" : "not killed");
    record(summary);
    std::puts(summary);
    return isKilled || !isRunning ? 1 : 0;
}
