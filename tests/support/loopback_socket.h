// Sockets on loopback for the scripted peers of a gateway. They wait for events, never for a fixed time.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace gateway::net::test {

constexpr int kTestTimeoutMs = 20000;  // only a hanging test comes near this

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
    // Ends the connection with a TCP reset, as a process that dies does.
    void reset();
    // Ends the sending side only.
    void closeSending() const;

    void write(const std::string& text) const;

    // True once there is input, a connection to accept, or the end of the connection.
    bool waitReadable(int timeoutMs = kTestTimeoutMs) const;
    // Reads what has come, waiting for the first byte; false at the end of the connection.
    bool readSome();
    // Receives one HTTP message with a body by Content-Length; nothing at the end of the connection.
    std::optional<std::string> receiveMessageOrEnd();
    // The same, where the connection must not end first.
    std::string receiveMessage();
    // Waits until the peer closes; false where it sent anything before.
    bool waitForClose();

private:
    int fd_;
    std::string input_;
};

// A listening socket on an ephemeral port.
class Server : public Socket {
public:
    // As a backlog: connections are refused until listen() is called.
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

// A server whose accept queue is full, so that a new connection stays half open.
class SaturatedServer : public Server {
public:
    SaturatedServer();

    // Frees the queue and accepts the connection that was waiting. It completes when the kernel sends its
    // next SYN, about 1 s or 3 s after the first one.
    Socket acceptPending() const;

private:
    Socket queued_;
};

// Waits until at least one of the sockets is readable (see Socket::waitReadable) and returns those that are.
std::vector<const Socket*> waitForReadable(const std::vector<const Socket*>& sockets);

// The sockets that are readable now.
std::vector<const Socket*> readableNow(const std::vector<const Socket*>& sockets);

// Lets time pass, where the subject of a test is time itself.
void pause(std::chrono::milliseconds time);

}  // namespace gateway::net::test
