// Arrival times of the bytes of one stream.
#pragma once

#include <cstdint>
#include <vector>

#include "gateway/types.h"

namespace gateway::net {

// Keeps when each pipelined request arrived. A client counts the time of a request from when it sent the
// request, not from the response before, so each request's time runs from the arrival of its first byte.
class ArrivalLog {
public:
    // Notes that bytes arrived at `now`. `unconsumedBytes` counts all bytes that have arrived so far and are
    // not consumed.
    void noteArrival(std::uint64_t unconsumedBytes, TimePoint now);

    // Notes that the oldest unconsumed bytes were consumed.
    void consume(std::uint64_t bytes) { consumedBytes_ += bytes; }

    // Returns when the first unconsumed byte arrived, to 10 ms, and drops the entries before it.
    // Precondition: there is an unconsumed byte.
    TimePoint takeArrivalOfNext();

private:
    struct Arrival {
        std::uint64_t offset = 0;  // bytes that arrived before
        TimePoint time{};
    };

    std::vector<Arrival> arrivals_;  // in order; the first covers the first unconsumed byte, or one before it
    std::uint64_t consumedBytes_ = 0;
    std::uint64_t arrivedBytes_ = 0;
};

}  // namespace gateway::net
