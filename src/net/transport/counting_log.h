// Logs how often events occurred, with at most one line per second and kind of event.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "net/transport/timer_queue.h"

namespace gateway::net {

// Counts events and writes the counts as warnings, so that a flood of events causes no flood of lines.
class CountingLog {
public:
    // `component` and `texts` must have static storage duration. `texts` has one text for each kind of event;
    // the count follows it in the line. `timers` must outlive the log, and must not run a timer after the log
    // is destroyed.
    CountingLog(TimerQueue& timers, std::string_view component, std::vector<std::string_view> texts);
    CountingLog(const CountingLog&) = delete;
    CountingLog& operator=(const CountingLog&) = delete;
    ~CountingLog() = default;

    // Counts an event of the kind whose text is `texts[kind]`. Its line is written after a second.
    void record(std::size_t kind);

private:
    void write();

    TimerQueue& timers_;
    std::string_view component_;
    std::vector<std::string_view> texts_;
    std::vector<std::uint64_t> counts_;  // since the last line, by kind
    bool isWriteScheduled_ = false;
};

}  // namespace gateway::net
