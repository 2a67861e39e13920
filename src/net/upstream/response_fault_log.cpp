#include "net/upstream/response_fault_log.h"

namespace gateway::net {

ResponseFaultLog::ResponseFaultLog(TimerQueue& timers)
    : log_(timers, "upstream",
           {"attempts failed on a response that is malformed or too large",
            "attempts failed as the endpoint closed the connection before its response was complete",
            "attempts failed as the connection was reset before the response was complete",
            "attempts failed on a response that was not complete in time after its first byte",
            "attempts failed to free memory of incomplete messages"}) {}

}  // namespace gateway::net
