// The running timers of the decision engine, and what each one is for.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <variant>

#include "decision/engine/request_key.h"
#include "decision/quota/slice_key.h"
#include "gateway/actions.h"

namespace gateway {

// The longest wait of a request for the counter's replies is over.
struct CounterWaitOver {
    RequestKey request = RequestKey::none;
};

// The amounts that are pending for a window slice are to be posted to the counter.
struct FlushDue {
    SliceKey slice;
};

// Discovery could not be reached; the endpoint watch is to be opened again.
struct DiscoveryRetryDue {};

using Timer = std::variant<CounterWaitOver, FlushDue, DiscoveryRetryDue>;

class TimerTable {
public:
    // Keeps `timer` under a new id and returns the action that starts it. A delay that is not positive is
    // replaced by the shortest one.
    SetTimer start(const Timer& timer, Duration delay);

    // Removes and returns the timer that fired; nothing for an id that is not running.
    std::optional<Timer> take(TimerId id);

private:
    std::unordered_map<TimerId, Timer> timers_;
    std::uint64_t lastId_ = 0;
};

}  // namespace gateway
