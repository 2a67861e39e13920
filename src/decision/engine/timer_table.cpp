#include "decision/engine/timer_table.h"

#include <algorithm>

namespace gateway {
namespace {

constexpr Duration kMinDelay{1};

}  // namespace

SetTimer TimerTable::start(const Timer& timer, Duration delay) {
    const TimerId id{++lastId_};
    timers_[id] = timer;
    return SetTimer{id, std::max(delay, kMinDelay)};
}

std::optional<Timer> TimerTable::take(TimerId id) {
    const auto found = timers_.find(id);
    if (found == timers_.end()) return std::nullopt;
    const Timer timer = found->second;
    timers_.erase(found);
    return timer;
}

}  // namespace gateway
