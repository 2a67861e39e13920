// Logs how many requests and responses were shed.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "net/transport/timer_queue.h"

namespace gateway::net {

enum class ShedReason { connectionLimit, memoryLimit };

// Writes at most one line per second and reason, so that a flood of clients causes no flood of lines.
class ShedLog {
public:
    // `timers` must outlive the log. It must not run a timer after the log is destroyed.
    explicit ShedLog(TimerQueue& timers) : timers_(timers) {}

    void record(ShedReason reason);

private:
    void write();

    static constexpr std::size_t kReasons = 2;

    TimerQueue& timers_;
    std::array<std::uint64_t, kReasons> counts_{};  // since the last line, by reason
    bool isWriteScheduled_ = false;
};

}  // namespace gateway::net
