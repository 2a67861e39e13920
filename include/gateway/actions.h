// The actions that a decision engine returns. The caller executes them in order.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "gateway/types.h"

namespace gateway {

// Send the request to an endpoint. Exactly one AttemptEnded follows.
struct SendAttempt {
    RequestId request;
    EndpointId endpoint;
    Duration timeout{};       // for the complete response
    Duration maxSendDelay{};  // an attempt that was not sent within it ends as notSent; 0: no limit
};

// Cancel an attempt whose response is no longer needed.
struct CancelAttempt {
    RequestId request;
    int attempt = 0;  // position among the attempts of the request, from 0
};

// Final answer to the client: the request was not served, and the client may safely send it again.
struct RejectRequest {
    RequestId request;
    Duration retryAfter{};  // time after which the client should retry; 0: unknown
};

// Final answer to the client: the request was not served, but an endpoint may have executed it.
struct FailRequest {
    RequestId request;
};

// Add to a named count on the counter service. Exactly one CounterReplied follows, with the total.
struct AddToCounter {
    std::string name;
    double amount = 0;
    Duration timeToLive{};  // of the name on the counter service
};

// Start a timer. Exactly one TimerFired follows.
struct SetTimer {
    TimerId timer{};
    Duration delay{};
};

// Open a watch on discovery. From then on, an EndpointUpdate follows each change of the endpoint set.
struct WatchEndpoints {};

using Action = std::variant<SendAttempt, CancelAttempt, RejectRequest, FailRequest, AddToCounter, SetTimer,
                            WatchEndpoints>;
using Actions = std::vector<Action>;

}  // namespace gateway
