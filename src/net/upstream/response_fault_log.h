// Logs how many attempts ended because the endpoint's response could not be used.
#pragma once

#include <cstddef>

#include "net/transport/counting_log.h"

namespace gateway::net {

// Why the response to a request that was written could not be used.
enum class ResponseFault {
    malformed,    // not an HTTP response, or one beyond a limit of size
    closedEarly,  // the connection was closed before the response was complete
    reset,        // the connection failed before the response was complete
    tooSlow,      // the response was not complete in time after its first byte
    memoryLimit,  // the response was dropped to free memory
};

class ResponseFaultLog {
public:
    // `timers` must outlive the log. It must not run a timer after the log is destroyed.
    explicit ResponseFaultLog(TimerQueue& timers);

    void record(ResponseFault fault) { log_.record(static_cast<std::size_t>(fault)); }

private:
    CountingLog log_;
};

}  // namespace gateway::net
