#include "net/transport/counting_log.h"

#include <string>
#include <utility>

#include "net/transport/log.h"

namespace gateway::net {
namespace {

constexpr Duration kLogInterval = std::chrono::seconds(1);

}  // namespace

CountingLog::CountingLog(TimerQueue& timers, std::string_view component, std::vector<std::string_view> texts)
    : timers_(timers), component_(component), texts_(std::move(texts)), counts_(texts_.size()) {}

void CountingLog::record(std::size_t kind) {
    ++counts_[kind];
    if (isWriteScheduled_) return;
    isWriteScheduled_ = true;
    timers_.schedule(kLogInterval, [this] { write(); });
}

void CountingLog::write() {
    isWriteScheduled_ = false;
    for (std::size_t kind = 0; kind < counts_.size(); ++kind) {
        const std::uint64_t count = std::exchange(counts_[kind], 0);
        if (count == 0) continue;
        log(LogLevel::warning, component_,
            std::string(texts_[kind]) + ": " + std::to_string(count) + " in the last second");
    }
}

}  // namespace gateway::net
