// Logs how many requests and responses were shed.
#pragma once

#include <cstddef>

#include "net/transport/counting_log.h"

namespace gateway::net {

enum class ShedReason { connectionLimit, memoryLimit };

class ShedLog {
public:
    // `timers` must outlive the log. It must not run a timer after the log is destroyed.
    explicit ShedLog(TimerQueue& timers);

    void record(ShedReason reason) { log_.record(static_cast<std::size_t>(reason)); }

private:
    CountingLog log_;
};

}  // namespace gateway::net
