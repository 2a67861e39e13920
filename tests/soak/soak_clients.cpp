#include "soak/soak_clients.h"

#include <sys/socket.h>

#include <array>
#include <cstddef>
#include <optional>
#include <random>
#include <stdexcept>
#include <thread>

#include "support/http_messages.h"
#include "support/request_spec.h"

namespace gateway::net::test {
namespace {

using Clock = SoakSchedule::Clock;
using std::chrono::milliseconds;

constexpr milliseconds kAnswerSlack{500};          // of the pages: later, a request counts as lost
constexpr milliseconds kAnswerableAfterTerm{700};  // a later request must not be unanswered at the kill
constexpr milliseconds kNewConnectionsAfterTerm{
    400};  // of the pages: later ones may meet the end of listening
constexpr milliseconds kMaxPauseBetweenRequests{20};
constexpr milliseconds kCrowdPause{5};

std::string repeated(const std::string& text, std::size_t bytes) {
    std::string result;
    while (result.size() + text.size() <= bytes) result += text;
    return result;
}

std::optional<Socket> tryConnect(unsigned short port) {
    try {
        return connectTo(port);
    } catch (const std::runtime_error&) {
        return std::nullopt;
    }
}

enum class Received { answer, closed, nothing };

Received exchange(Socket& connection, const std::string& text, Clock::time_point until, std::string& answer) {
    try {
        connection.write(text);
    } catch (const std::runtime_error&) {
        return Received::closed;
    }
    while (Clock::now() < until) {
        const auto left = std::chrono::duration_cast<milliseconds>(until - Clock::now());
        if (!connection.waitReadable(static_cast<int>(left.count()) + 1)) return Received::nothing;
        const auto message = connection.receiveMessageOrEnd();
        if (!message) return Received::closed;
        answer = *message;
        return Received::answer;
    }
    return Received::nothing;
}

SoakOutcome outcomeOf(const std::string& answer, const std::string& id) {
    const int status = statusOf(answer);
    if (status == 200) return bodyOf(answer) == id ? SoakOutcome::served : SoakOutcome::foreign;
    return status == 429 || status == 503 ? SoakOutcome::rejected : SoakOutcome::failed;
}

// One usual client and its connection.
class UsualClient {
public:
    UsualClient(unsigned short port, const SoakSchedule& schedule) : port_(port), schedule_(schedule) {}

    // What happened since the start of the latest send().
    const std::string& trace() const { return trace_; }

    SoakOutcome send(const RequestSpec& request, const std::string& id) {
        trace_.clear();
        const bool wasUsed = connection_.has_value();
        SoakOutcome outcome = tryOnce(request, id);
        if (outcome == SoakOutcome::unanswered && wasUsed && wasClosed_) outcome = tryOnce(request, id);
        return outcome;
    }

private:
    SoakOutcome tryOnce(const RequestSpec& request, const std::string& id) {
        wasClosed_ = false;
        const bool isNew = !connection_;
        trace_ += isNew ? " new" : " used";
        if (!connection_) connection_ = tryConnect(port_);
        if (!connection_)
            return Clock::now() < schedule_.terminatedAt ? SoakOutcome::unanswered : SoakOutcome::excused;
        const auto sentAt = Clock::now();
        trace_ += " +" + std::to_string((sentAt - schedule_.terminatedAt) / milliseconds(1)) + " ms";
        std::string answer;
        const auto until = sentAt + schedule_.requestTimeout + kAnswerSlack;
        const Received received = exchange(*connection_, request.text(), until, answer);
        if (received == Received::answer) {
            const bool isLast = contains(answer, "Connection: close");
            if (isLast) connection_.reset();
            return outcomeOf(answer, id);
        }
        trace_ += received == Received::closed ? " closed;" : " no answer;";
        connection_.reset();
        wasClosed_ = received == Received::closed;
        const bool wasKilled = Clock::now() >= schedule_.killedAt;
        const bool isKillExcused = wasKilled && sentAt <= schedule_.terminatedAt + kAnswerableAfterTerm;
        const bool isEndOfListening =
            wasClosed_ && isNew && sentAt > schedule_.terminatedAt + kNewConnectionsAfterTerm;
        const bool isExcused = isKillExcused || isEndOfListening;
        return isExcused ? SoakOutcome::excused : SoakOutcome::unanswered;
    }

    unsigned short port_;
    const SoakSchedule& schedule_;
    std::optional<Socket> connection_;
    bool wasClosed_ = false;
    std::string trace_;
};

std::string crowdMessage(std::mt19937_64& random) {
    const std::string head = "POST /spend HTTP/1.1\r\nHost: h\r\n";
    const std::string id = "crowd" + std::to_string(random());
    const std::array<std::string, 8> messages = {
        head + "Content-Length: 65536\r\n" + repeated("a:b\r\n", 15'000),
        head + repeated("abc: d\r\n", random() % 16'000),
        head + "Content-Length: 65536\r\n\r\n" + std::string(random() % 65'000, 'x'),
        head + "Transfer-Encoding: chunked\r\n\r\n10000\r\n" + std::string(random() % 65'000, 'x'),
        unsafeRequest(id).withoutQuota().withBody(std::string(60'000, 'x')).text() + repeated("x", 60'000),
        repeated("GET /-/ready HTTP/1.1\r\n\r\n", 100'000),
        repeated("GET /unknown HTTP/1.1\r\n\r\n", 100'000),
        safeRequest(id).withTenant("00000000" + std::to_string(10'000'000 + random() % 80'000'000)).text(),
    };
    return messages[random() % messages.size()];
}

}  // namespace

std::vector<SoakRequest> runUsualClient(unsigned short port, const SoakSchedule& schedule,
                                        std::uint64_t seed) {
    std::mt19937_64 random(seed);
    std::vector<SoakRequest> requests;
    UsualClient client(port, schedule);
    while (Clock::now() < schedule.killedAt) {
        SoakRequest request;
        request.id = "u" + std::to_string(seed) + "-" + std::to_string(requests.size());
        request.isRepeatable = random() % 2 == 0;
        request.isBeforeTermination = Clock::now() < schedule.terminatedAt;
        const RequestSpec spec = request.isRepeatable ? safeRequest(request.id) : unsafeRequest(request.id);
        request.outcome = client.send(spec.withoutQuota().withTimeout(schedule.requestTimeout), request.id);
        request.trace = client.trace();
        requests.push_back(request);
        std::this_thread::sleep_for(kMaxPauseBetweenRequests * (random() % 100) / 100);
    }
    return requests;
}

void runCrowd(unsigned short port, int clients, std::uint64_t seed, const std::atomic<bool>& isStopped) {
    std::mt19937_64 random(seed);
    std::vector<std::optional<Socket>> sockets(static_cast<std::size_t>(clients));
    while (!isStopped) {
        for (auto& socket : sockets) {
            std::array<char, 4096> bytes{};
            const bool isOpen = socket && (random() % 4 != 0 || ::recv(socket->fd(), bytes.data(),
                                                                       bytes.size(), MSG_DONTWAIT) != 0);
            if (isOpen && random() % 50 != 0) continue;
            socket = tryConnect(port);
            if (!socket) break;
            const std::string message = crowdMessage(random);
            ::send(socket->fd(), message.data(), message.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        }
        std::this_thread::sleep_for(kCrowdPause);
    }
}

}  // namespace gateway::net::test
