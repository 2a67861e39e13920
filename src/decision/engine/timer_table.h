// The running timers of the decision engine and their purposes.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <variant>

#include "decision/engine/request_key.h"
#include "decision/quota/slice_key.h"
#include "gateway/actions.h"

namespace gateway {

// A request has waited for the counter's replies as long as it may.
struct CounterWaitExpired {
    RequestKey request = RequestKey::none;
};

// The amounts pending for a window slice must be posted to the counter.
struct FlushDue {
    SliceKey slice;
};

// The endpoint watch must be opened again, since discovery could not be reached.
struct DiscoveryRetryDue {};

using Timer = std::variant<CounterWaitExpired, FlushDue, DiscoveryRetryDue>;

class TimerTable {
public:
    // Stores `timer` under a new id and returns the action that starts it. A delay that is not positive is
    // replaced by the shortest possible delay.
    SetTimer start(const Timer& timer, Duration delay);

    // Removes and returns the timer that fired. Returns nothing if no such timer is running.
    std::optional<Timer> take(TimerId id);

private:
    std::unordered_map<TimerId, Timer> timers_;
    std::uint64_t lastId_ = 0;
};

}  // namespace gateway
