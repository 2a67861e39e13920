// The actions that a decision engine returns. The caller carries them out in order.
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
    Duration timeout{};
    Duration maxSendDelay{};  // an attempt that was not sent within it ends as notSent; 0: no limit
};

// Cancel an attempt whose response is no longer needed.
struct CancelAttempt {
    RequestId request;
    int attempt = 0;
};

// Final answer: the request was not served, and a retry by the client is harmless.
struct RejectRequest {
    RequestId request;
    Duration retryAfter{};  // time until a retry makes sense; 0: unknown
};

// Final answer: the request was not served, and it may have run.
struct FailRequest {
    RequestId request;
};

// Add to a named count on the counter service. Exactly one CounterReplied follows, with the total.
struct AddToCounter {
    std::string name;
    double amount = 0;
    Duration timeToLive{};  // of the name on the counter service
};

// Start a timer. One TimerFired follows.
struct SetTimer {
    TimerId timer{};
    Duration delay{};
};

// Open a watch on discovery, and report each change of the endpoint set from now on.
struct WatchEndpoints {};

using Action = std::variant<SendAttempt, CancelAttempt, RejectRequest, FailRequest, AddToCounter, SetTimer,
                            WatchEndpoints>;
using Actions = std::vector<Action>;

}  // namespace gateway
