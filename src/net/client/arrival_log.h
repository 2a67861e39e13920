// When the bytes of a client's stream came.
#pragma once

#include <cstdint>
#include <utility>
#include <vector>

#include "gateway/types.h"

namespace gateway::net {

// A client counts the time of a request from when it sent it, not from the response before. So where requests
// are pipelined, each one's time runs from when its first byte came.
class ArrivalLog {
public:
    // Bytes have come; `unconsumed` of all that came are not consumed yet.
    void noteArrival(std::uint64_t unconsumed, TimePoint now) {
        if (noted_ == consumed_) arrivals_.clear();
        if (arrivals_.empty() || now - arrivals_.back().second > kResolution)
            arrivals_.emplace_back(noted_, now);
        noted_ = consumed_ + unconsumed;
    }

    void consume(std::uint64_t bytes) { consumed_ += bytes; }

    // When the first byte that is not consumed came. At least one such must have been noted.
    TimePoint arrivalOfNext() {
        while (arrivals_.size() > 1 && arrivals_[1].first <= consumed_) arrivals_.erase(arrivals_.begin());
        return arrivals_.front().second;
    }

private:
    static constexpr Duration kResolution = std::chrono::milliseconds(10);  // came together, if so close

    // Moments, each with the number of bytes that came before it; those that are consumed now in front.
    std::vector<std::pair<std::uint64_t, TimePoint>> arrivals_;
    std::uint64_t consumed_ = 0;
    std::uint64_t noted_ = 0;
};

}  // namespace gateway::net
