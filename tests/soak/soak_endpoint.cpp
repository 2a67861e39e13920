#include "soak/soak_endpoint.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <utility>

#include "support/http_messages.h"

namespace gateway::net::test {
namespace {

constexpr int kPollMs = 2;
constexpr int kMaxWorkMs = 40;
constexpr std::uint64_t kPercent = 100;
constexpr std::uint64_t kIgnoredPercent = 1;
constexpr std::uint64_t kResetPercent = 1;
constexpr std::uint64_t kTruncatedPercent = 1;
constexpr std::uint64_t kWithoutLengthPercent = 10;
constexpr std::size_t kReadBytes = 65536;

std::size_t contentLength(const std::string& head) {
    const std::string field = "Content-Length: ";
    const std::size_t position = head.find(field);
    return position == std::string::npos ? 0 : std::stoul(head.substr(position + field.size()));
}

std::string requestId(const std::string& head) {
    const std::string field = "Request-Id: ";
    const std::size_t begin = head.find(field) + field.size();
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

}  // namespace

SoakEndpoint::~SoakEndpoint() {
    isStopped_ = true;
    if (thread_.joinable()) thread_.join();
}

void SoakEndpoint::start() {
    thread_ = std::thread([this] { run(); });
}

std::map<std::string, int> SoakEndpoint::executions() const {
    const std::scoped_lock lock(mutex_);
    return executions_;
}

void SoakEndpoint::run() {
    while (!isStopped_) {
        std::vector<pollfd> polls{{server_.fd(), POLLIN, 0}};
        for (const Connection& connection : connections_)
            polls.push_back({connection.socket.fd(), POLLIN, 0});
        ::poll(polls.data(), polls.size(), kPollMs);
        for (std::size_t i = 0; i < connections_.size(); ++i) {
            if (polls[i + 1].revents != 0) receive(connections_[i]);
            if (!connections_[i].requestId.empty() && Clock::now() >= connections_[i].due)
                finishRequest(connections_[i]);
        }
        std::erase_if(connections_, [](const Connection& connection) { return connection.isClosed; });
        if (polls[0].revents == 0) continue;
        Connection accepted;
        accepted.socket = server_.accept();
        connections_.push_back(std::move(accepted));
    }
}

void SoakEndpoint::receive(Connection& connection) {
    std::array<char, kReadBytes> bytes{};
    const ssize_t size = ::recv(connection.socket.fd(), bytes.data(), bytes.size(), MSG_DONTWAIT);
    if (size <= 0) {
        connection.isClosed = true;
        return;
    }
    connection.input.append(bytes.data(), static_cast<std::size_t>(size));
    beginRequest(connection);
}

void SoakEndpoint::beginRequest(Connection& connection) {
    const std::size_t end = connection.input.find("\r\n\r\n");
    if (end == std::string::npos) return;
    const std::string head = connection.input.substr(0, end);
    const std::size_t messageSize = end + 4 + contentLength(head);
    if (connection.input.size() < messageSize) return;
    connection.input.erase(0, messageSize);
    connection.requestId = requestId(head);
    connection.reaction = drawReaction();
    connection.due = Clock::now() + std::chrono::milliseconds(random_() % kMaxWorkMs);
    const std::scoped_lock lock(mutex_);
    ++executions_[connection.requestId];
}

SoakEndpoint::Reaction SoakEndpoint::drawReaction() {
    std::uint64_t draw = random_() % kPercent;
    for (const auto& [reaction, percent] :
         {std::pair(Reaction::ignore, kIgnoredPercent), std::pair(Reaction::reset, kResetPercent),
          std::pair(Reaction::truncate, kTruncatedPercent),
          std::pair(Reaction::answerWithoutLength, kWithoutLengthPercent)}) {
        if (draw < percent) return reaction;
        draw -= percent;
    }
    return Reaction::answer;
}

void SoakEndpoint::finishRequest(Connection& connection) {
    const std::string id = std::exchange(connection.requestId, {});
    const std::string withoutLength = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
    const auto send = [&](const std::string& text) {
        ::send(connection.socket.fd(), text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    };
    switch (connection.reaction) {
        case Reaction::answer:
            send(okResponse(id));
            return;
        case Reaction::ignore:
            return;
        case Reaction::answerWithoutLength:
            send(withoutLength + id);
            break;
        case Reaction::truncate:
            send(withoutLength + id.substr(0, id.size() / 2));
            connection.socket.reset();
            break;
        case Reaction::reset:
            connection.socket.reset();
            break;
    }
    connection.isClosed = true;
}

}  // namespace gateway::net::test
