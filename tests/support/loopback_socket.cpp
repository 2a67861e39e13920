#include "support/loopback_socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <string_view>
#include <thread>
#include <utility>

namespace gateway::net::test {
namespace {

constexpr std::size_t kReadSize = 8192;

sockaddr_in loopbackAddress(unsigned short port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    return address;
}

// Returns the size of the HTTP message at the start of `input`, or nothing if the message is incomplete.
std::optional<std::size_t> completeMessageSize(const std::string& input) {
    constexpr std::string_view kLengthField = "Content-Length: ";
    constexpr std::string_view kEndOfHead = "\r\n\r\n";
    const std::size_t head = input.find(kEndOfHead);
    if (head == std::string::npos) return std::nullopt;
    std::size_t size = head + kEndOfHead.size();
    const std::size_t field = input.find(kLengthField);
    if (field < head) size += std::stoul(input.substr(field + kLengthField.size()));
    if (input.size() < size) return std::nullopt;
    return size;
}

std::vector<const Socket*> pollReadable(const std::vector<const Socket*>& sockets, int timeoutMs) {
    std::vector<pollfd> polls;
    polls.reserve(sockets.size());
    for (const Socket* socket : sockets) polls.push_back({socket->fd(), POLLIN, 0});
    ::poll(polls.data(), polls.size(), timeoutMs);
    std::vector<const Socket*> readable;
    for (std::size_t i = 0; i < sockets.size(); ++i)
        if (polls[i].revents != 0) readable.push_back(sockets[i]);
    return readable;
}

}  // namespace

// ---- Socket ---------------------------------------------------------------------------------------------

Socket::Socket(Socket&& other) noexcept
    : fd_(std::exchange(other.fd_, -1)), input_(std::exchange(other.input_, {})) {}

Socket& Socket::operator=(Socket&& other) noexcept {
    if (this == &other) return *this;
    close();
    fd_ = std::exchange(other.fd_, -1);
    input_ = std::exchange(other.input_, {});
    return *this;
}

void Socket::close() {
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
}

void Socket::reset() {
    const linger discardOnClose{1, 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &discardOnClose, sizeof discardOnClose);
    close();
}

void Socket::closeSending() const {
    ::shutdown(fd_, SHUT_WR);
}

void Socket::write(const std::string& text) const {
    std::string_view rest = text;
    while (!rest.empty()) {
        const ssize_t size = ::send(fd_, rest.data(), rest.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (size >= 0) {
            rest.remove_prefix(static_cast<std::size_t>(size));
            continue;
        }
        pollfd writable{fd_, POLLOUT, 0};
        if (errno != EAGAIN || ::poll(&writable, 1, kTestTimeoutMs) <= 0)
            throw std::runtime_error("send: " + std::string(std::strerror(errno)));
    }
}

bool Socket::waitReadable(int timeoutMs) const {
    return !pollReadable({this}, timeoutMs).empty();
}

bool Socket::readSome() {
    if (!waitReadable())
        throw std::runtime_error("received nothing within " + std::to_string(kTestTimeoutMs) + " ms");
    std::array<char, kReadSize> bytes{};
    const ssize_t size = ::recv(fd_, bytes.data(), bytes.size(), 0);
    if (size <= 0) return false;
    input_.append(bytes.data(), static_cast<std::size_t>(size));
    return true;
}

std::optional<std::string> Socket::receiveMessageOrEnd() {
    for (;;) {
        if (const auto size = completeMessageSize(input_)) {
            std::string message = input_.substr(0, *size);
            input_.erase(0, *size);
            return message;
        }
        if (!readSome()) return std::nullopt;
    }
}

std::string Socket::receiveMessage() {
    auto message = receiveMessageOrEnd();
    if (!message) throw std::runtime_error("the connection ended before a complete message arrived");
    return *message;
}

bool Socket::waitForClose() {
    return input_.empty() && !readSome();
}

// ---- Servers --------------------------------------------------------------------------------------------

Server::Server(int backlog) : Socket(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address = loopbackAddress(0);
    socklen_t size = sizeof address;
    if (::bind(fd(), reinterpret_cast<sockaddr*>(&address), size) != 0)
        throw std::runtime_error("cannot bind a socket to a loopback port");
    if (backlog != kRefusing) listen(backlog);
    ::getsockname(fd(), reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
}

void Server::listen(int backlog) const {
    if (::listen(fd(), backlog) != 0) throw std::runtime_error("cannot listen on a loopback port");
}

Socket Server::accept() const {
    if (!waitReadable())
        throw std::runtime_error("no connection arrived within " + std::to_string(kTestTimeoutMs) + " ms");
    return Socket(::accept(fd(), nullptr, nullptr));
}

Socket connectTo(unsigned short port) {
    Socket socket(::socket(AF_INET, SOCK_STREAM, 0));
    const sockaddr_in address = loopbackAddress(port);
    if (::connect(socket.fd(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
        throw std::runtime_error("cannot connect to loopback port " + std::to_string(port));
    return socket;
}

// With a backlog of 0 the kernel queues one connection.
SaturatedServer::SaturatedServer() : Server(0), queued_(connectTo(port())) {}

Socket SaturatedServer::acceptPending() const {
    accept();
    return accept();
}

// ---- Waiting --------------------------------------------------------------------------------------------

std::vector<const Socket*> waitForReadable(const std::vector<const Socket*>& sockets) {
    auto readable = pollReadable(sockets, kTestTimeoutMs);
    if (readable.empty())
        throw std::runtime_error("no socket became readable within " + std::to_string(kTestTimeoutMs) +
                                 " ms");
    return readable;
}

std::vector<const Socket*> readableNow(const std::vector<const Socket*>& sockets) {
    return pollReadable(sockets, 0);
}

void pause(std::chrono::milliseconds time) {
    std::this_thread::sleep_for(time);
}

}  // namespace gateway::net::test
