// Sockets on loopback for tests that act as the peers of a gateway. They wait for events, not for fixed
// times.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace gateway::net::test {

constexpr int kTestTimeoutMs = 20000;  // of each wait; reached only if a test hangs

// One end of a TCP connection, which it owns. Functions that wait throw std::runtime_error after
// kTestTimeoutMs.
class Socket {
public:
    explicit Socket(int descriptor = -1) : fd_(descriptor) {}
    Socket(const Socket&) = delete;
    Socket& operator=(const Socket&) = delete;
    Socket(Socket&& other) noexcept;
    Socket& operator=(Socket&& other) noexcept;
    ~Socket() { close(); }

    int fd() const { return fd_; }

    void close();
    // Closes the connection with a TCP reset, as when a process crashes.
    void reset();
    // Closes the sending side only.
    void closeSending() const;

    void write(const std::string& text) const;

    // Waits for input, a connection to accept, or the end of the connection. Returns false after `timeoutMs`.
    bool waitReadable(int timeoutMs = kTestTimeoutMs) const;
    // Waits for input and reads what is there. Returns false at the end of the connection.
    bool readSome();
    // Receives one HTTP message, whose body has the length in Content-Length. Returns nothing at the end of
    // the connection.
    std::optional<std::string> receiveMessageOrEnd();
    // Receives one HTTP message. Throws std::runtime_error if the connection ends first.
    std::string receiveMessage();
    // Waits until the peer closes the connection. Returns false if it sends anything before that.
    bool waitForClose();

private:
    int fd_;
    std::string input_;
};

// A listening socket on an ephemeral port.
class Server : public Socket {
public:
    // A backlog with which connections are refused until listen() is called.
    static constexpr int kRefusing = -1;
    static constexpr int kDefaultBacklog = 64;

    explicit Server(int backlog = kDefaultBacklog);

    void listen(int backlog = kDefaultBacklog) const;
    unsigned short port() const { return port_; }
    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
    Socket accept() const;

private:
    unsigned short port_ = 0;
};

Socket connectTo(unsigned short port);

// A server whose accept queue is full, so that a new connection does not complete.
class SaturatedServer : public Server {
public:
    SaturatedServer();

    // Empties the queue, and accepts the connection that did not fit into it. That one completes when the
    // client's kernel repeats the SYN, about 1 s or 3 s after the first one.
    Socket acceptPending() const;

private:
    Socket queued_;
};

// Waits until at least one of the sockets is readable (see Socket::waitReadable). Returns the readable ones.
std::vector<const Socket*> waitForReadable(const std::vector<const Socket*>& sockets);

// Returns the sockets that are readable now, without waiting.
std::vector<const Socket*> readableNow(const std::vector<const Socket*>& sockets);

// Sleeps. For tests of behaviour that depends on elapsed time; other tests wait for events.
void pause(std::chrono::milliseconds time);

}  // namespace gateway::net::test
