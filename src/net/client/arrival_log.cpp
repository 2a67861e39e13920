#include "net/client/arrival_log.h"

namespace gateway::net {
namespace {

constexpr Duration kResolution = std::chrono::milliseconds(10);  // closer arrivals share an entry

}  // namespace

void ArrivalLog::recordArrival(std::uint64_t unconsumedBytes, TimePoint now) {
    if (arrivedBytes_ == consumedBytes_) arrivals_.clear();
    if (arrivals_.empty() || now - arrivals_.back().time > kResolution)
        arrivals_.push_back({arrivedBytes_, now});
    arrivedBytes_ = consumedBytes_ + unconsumedBytes;
}

TimePoint ArrivalLog::takeNextArrivalTime() {
    while (arrivals_.size() > 1 && arrivals_[1].offset <= consumedBytes_) arrivals_.erase(arrivals_.begin());
    return arrivals_.front().time;
}

}  // namespace gateway::net
