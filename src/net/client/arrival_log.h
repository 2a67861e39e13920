// Records when the bytes of a stream arrived.
#pragma once

#include <cstdint>
#include <vector>

#include "gateway/types.h"

namespace gateway::net {

// Determines when each request of a pipeline arrived. A client measures a request's timeout from the time at
// which it sent the request, not from the previous response, so the gateway measures it from the arrival of
// the request's first byte.
class ArrivalLog {
public:
    // Records that bytes arrived at `now`. `unconsumedBytes` is the number of all bytes that have arrived and
    // have not been consumed.
    void recordArrival(std::uint64_t unconsumedBytes, TimePoint now);

    // Records that the oldest `bytes` unconsumed bytes were consumed.
    void consume(std::uint64_t bytes) { consumedBytes_ += bytes; }

    // Returns when the first unconsumed byte arrived, accurate to 10 ms, and drops earlier entries.
    // Precondition: there is an unconsumed byte.
    TimePoint takeNextArrivalTime();

private:
    struct Arrival {
        std::uint64_t offset = 0;  // number of bytes that arrived earlier
        TimePoint time{};
    };

    // In order. The first entry covers the first unconsumed byte or an earlier one.
    std::vector<Arrival> arrivals_;
    std::uint64_t consumedBytes_ = 0;
    std::uint64_t arrivedBytes_ = 0;
};

}  // namespace gateway::net
