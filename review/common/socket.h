// Blocking TCP sockets on the loopback address, and HTTP/1.1 messages on them.
#pragma once

#include <map>
#include <string>
#include <utility>

namespace review {

// How a wait for bytes or for a message ended.
enum class Received {
    data,      // bytes, or a whole message
    end,       // the peer ended its sending in order, and has not reset the connection
    reset,     // the connection was reset
    timedOut,  // nothing, or no whole message, in time
};

const char* toText(Received received);

class Socket {
public:
    Socket() = default;
    explicit Socket(int fd) : fd_(fd) {}
    Socket(Socket&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
    Socket& operator=(Socket&& other) noexcept;
    ~Socket() { close(); }

    bool isOpen() const { return fd_ >= 0; }
    int fd() const { return fd_; }
    void close();
    // Closes the connection with a reset.
    void reset();

    // Writes all bytes. Returns false if the connection failed before.
    bool send(const std::string& bytes);
    // Appends the bytes that have arrived, after a wait of up to `seconds`, to `buffer`.
    Received receive(std::string& buffer, double seconds);
    // Returns whether bytes have arrived that were not received.
    bool hasInput() const;

private:
    int fd_ = -1;
};

// Connects to a port of 127.0.0.1. The socket is not open if that fails.
Socket connectTo(int port);

// Listens on a port of 127.0.0.1.
class Listener {
public:
    // A port of 0 means any free one. Ends the program with status 2 if the port can't be had.
    explicit Listener(int port = 0);
    int port() const { return port_; }
    Socket accept();

private:
    int fd_ = -1;
    int port_ = 0;
};

// Returns a port that is free now.
int findFreePort();

struct Message {
    std::string startLine;
    std::map<std::string, std::string> headers;  // names in lower case
    std::string body;

    // Returns the value of a header, or an empty text.
    std::string header(const std::string& name) const;
    // Returns the status of a response, or 0.
    int status() const;
};

// Receives messages with a Content-Length, or without a body, from one connection.
class MessageReader {
public:
    explicit MessageReader(Socket& socket) : socket_(socket) {}

    // Receives the next message within `seconds`.
    Received read(Message& message, double seconds);
    // Returns the bytes that have arrived of an incomplete message.
    std::size_t pendingBytes() const { return buffer_.size(); }

private:
    bool take(Message& message);

    Socket& socket_;
    std::string buffer_;
};

}  // namespace review
