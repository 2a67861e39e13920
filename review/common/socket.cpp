#include "socket.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <cstdlib>

#include "record.h"

namespace review {
namespace {

constexpr std::size_t kReadBytes = 64UL * 1024;
constexpr int kBacklog = 1024;

sockaddr_in loopbackAddress(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

void setNoDelay(int fd) {
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

// After the peer has ended its sending: returns whether it has reset the connection since.
bool wasReset(int fd) {
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    return error != 0;
}

}  // namespace

const char* toText(Received received) {
    switch (received) {
        case Received::data:
            return "data";
        case Received::end:
            return "ended in order";
        case Received::reset:
            return "reset";
        case Received::timedOut:
            return "nothing";
    }
    return "";
}

Socket& Socket::operator=(Socket&& other) noexcept {
    close();
    fd_ = std::exchange(other.fd_, -1);
    return *this;
}

void Socket::close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
}

void Socket::reset() {
    const linger now{1, 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close();
}

bool Socket::send(const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t size = ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size < 0 && errno == EINTR) continue;
        if (size <= 0) return false;
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

Received Socket::receive(std::string& buffer, double seconds) {
    pollfd request{fd_, POLLIN, 0};
    if (::poll(&request, 1, std::max(0, static_cast<int>(seconds * 1000))) <= 0) return Received::timedOut;
    const std::size_t before = buffer.size();
    buffer.resize(before + kReadBytes);
    const ssize_t size = ::recv(fd_, buffer.data() + before, kReadBytes, 0);
    buffer.resize(before + static_cast<std::size_t>(std::max<ssize_t>(size, 0)));
    if (size > 0) return Received::data;
    return size < 0 || wasReset(fd_) ? Received::reset : Received::end;
}

bool Socket::hasInput() const {
    char byte = 0;
    return ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

Socket connectTo(int port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopbackAddress(port);
    if (fd < 0 || ::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        if (fd >= 0) ::close(fd);
        return {};
    }
    setNoDelay(fd);
    return Socket(fd);
}

Listener::Listener(int port) {
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = loopbackAddress(port);
    socklen_t size = sizeof address;
    if (::bind(fd_, reinterpret_cast<const sockaddr*>(&address), size) != 0 || ::listen(fd_, kBacklog) != 0 ||
        ::getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size) != 0)
        std::exit(2);
    port_ = ntohs(address.sin_port);
}

Socket Listener::accept() {
    const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd >= 0) setNoDelay(fd);
    return Socket(fd);
}

int findFreePort() {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopbackAddress(0);
    socklen_t size = sizeof address;
    ::bind(fd, reinterpret_cast<const sockaddr*>(&address), size);
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    ::close(fd);
    return ntohs(address.sin_port);
}

std::string Message::header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
}

int Message::status() const {
    const std::size_t space = startLine.find(' ');
    return startLine.starts_with("HTTP/") ? std::atoi(startLine.c_str() + space) : 0;
}

Received MessageReader::read(Message& message, double seconds) {
    const double deadline = elapsed() + seconds;
    while (!take(message)) {
        const Received received = socket_.receive(buffer_, deadline - elapsed());
        if (received != Received::data) return received;
    }
    return Received::data;
}

// Takes a whole message out of the buffer. Returns false if it is incomplete.
bool MessageReader::take(Message& message) {
    const std::size_t end = buffer_.find("\r\n\r\n");
    if (end == std::string::npos) return false;
    message = {};
    std::size_t position = buffer_.find("\r\n");
    message.startLine = buffer_.substr(0, position);
    while (position < end) {
        const std::size_t next = buffer_.find("\r\n", position + 2);
        const std::string line = buffer_.substr(position + 2, next - position - 2);
        const std::size_t colon = std::min(line.find(':'), line.size());
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return std::tolower(c); });
        const std::size_t value = line.find_first_not_of(" :", colon);
        message.headers[name] = value == std::string::npos ? "" : line.substr(value);
        position = next;
    }
    const std::size_t length = std::strtoul(message.header("content-length").c_str(), nullptr, 10);
    if (buffer_.size() < end + 4 + length) return false;
    message.body = buffer_.substr(end + 4, length);
    buffer_.erase(0, end + 4 + length);
    return true;
}

}  // namespace review
