// What a decision engine wants done.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "gateway/types.h"

namespace gateway {

// Send the request to an endpoint. Answered by one AttemptEnded.
struct SendAttempt {
    RequestId request;
    EndpointId endpoint;
    Duration timeout{};
    Duration beginWithin{};  // after this it must not begin any more, and ends as notSent; 0: no such limit
};

// Call off an attempt that nobody waits for.
struct CancelAttempt {
    RequestId request;
    int attempt = 0;
};

// Final answer: not served, and a retry by the client is harmless.
struct RejectRequest {
    RequestId request;
    Duration retryAfter{};  // when to come back; 0: no advice
};

// Final answer: not served, and it may have run.
struct FailRequest {
    RequestId request;
};

// Add to a named number of the counter service and get the sum. Answered by one CounterReplied.
struct AddToCounter {
    std::string name;
    double amount = 0;
    Duration keepFor{};  // after which the counter may forget the name
};

struct SetTimer {
    TimerId timer{};
    Duration after{};
};

// Watch discovery, and report changes of the endpoint set from now on.
struct WatchEndpoints {};

using Action = std::variant<SendAttempt, CancelAttempt, RejectRequest, FailRequest, AddToCounter, SetTimer,
                            WatchEndpoints>;
using Actions = std::vector<Action>;

}  // namespace gateway
