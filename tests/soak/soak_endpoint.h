// A stand-in for an endpoint that serves requests in a thread of its own.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "support/loopback_socket.h"

namespace gateway::net::test {

// Counts how often each request was received, and answers most of them after a random time with their id as
// the body. Some responses have no length and end with their connection, or are truncated by a reset. Some
// requests are never answered, and some connections are reset instead.
class SoakEndpoint {
public:
    explicit SoakEndpoint(std::uint64_t seed) : random_(seed) {}
    SoakEndpoint(const SoakEndpoint&) = delete;
    SoakEndpoint& operator=(const SoakEndpoint&) = delete;
    ~SoakEndpoint();

    // Must be called after the gateway's process was forked.
    void start();

    const Server& server() const { return server_; }

    // Returns how often each request was received.
    std::map<std::string, int> executions() const;

private:
    using Clock = std::chrono::steady_clock;
    enum class Reaction { answer, answerWithoutLength, truncate, ignore, reset };
    struct Connection {
        Socket socket;
        std::string input;
        std::string requestId;  // empty: no request is being served
        Reaction reaction = Reaction::answer;
        Clock::time_point due;
        bool isClosed = false;
    };

    void run();
    void receive(Connection& connection);
    void beginRequest(Connection& connection);
    Reaction drawReaction();
    void finishRequest(Connection& connection);

    Server server_{1024};
    std::mt19937_64 random_;
    std::vector<Connection> connections_;
    mutable std::mutex mutex_;
    std::map<std::string, int> executions_;
    std::atomic<bool> isStopped_ = false;
    std::thread thread_;
};

}  // namespace gateway::net::test
