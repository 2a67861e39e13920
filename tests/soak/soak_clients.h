// Clients of a soak: usual ones, and a crowd that sends what it likes.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "support/loopback_socket.h"

namespace gateway::net::test {

// When the gateway is told to end, and when it is killed.
struct SoakSchedule {
    using Clock = std::chrono::steady_clock;

    std::chrono::milliseconds requestTimeout{};  // the classes' deadline
    Clock::time_point terminatedAt;
    Clock::time_point killedAt;
};

// How a request of a usual client ended.
enum class SoakOutcome {
    served,      // 200 with the body that an endpoint made for it
    rejected,    // 429 or 503
    failed,      // another status
    foreign,     // 200 with another body
    unanswered,  // closed on a new connection, or no answer in time
    excused,     // unanswered, but the gateway was killed or had stopped listening
};

struct SoakRequest {
    std::string id;
    bool isRepeatable = false;
    bool isBeforeTermination = false;
    SoakOutcome outcome = SoakOutcome::excused;
    std::string trace;  // of each try: when it was sent after SIGTERM, on which connection, and how it ended
};

// Sends requests one after the other on one connection, and keeps using it, until the gateway is killed.
// Sends a request once more, on a new connection, if the gateway closes a used connection without an answer.
std::vector<SoakRequest> runUsualClient(unsigned short port, const SoakSchedule& schedule,
                                        std::uint64_t seed);

// Keeps `clients` connections open that send incomplete, large, invalid or many requests, and connects again
// when one is closed. Returns when `isStopped` is set.
void runCrowd(unsigned short port, int clients, std::uint64_t seed, const std::atomic<bool>& isStopped);

}  // namespace gateway::net::test
