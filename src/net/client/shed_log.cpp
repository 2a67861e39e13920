#include "net/client/shed_log.h"

namespace gateway::net {

ShedLog::ShedLog(TimerQueue& timers)
    : log_(
          timers, "clients",
          {"rejected incomplete requests with 503 or closed connections of clients that send too fast, since "
           "all connections are in use and clients wait",
           "rejected incomplete requests with 503 or closed connections with unread responses, at the memory "
           "limit"}) {}

}  // namespace gateway::net
