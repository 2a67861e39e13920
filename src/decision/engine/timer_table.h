// The timers that the decision module has set, and what each is for.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <variant>

#include "decision/engine/request_table.h"
#include "decision/quota/slice_key.h"
#include "gateway/actions.h"

namespace gateway {

// A request has waited for the counter long enough.
struct CounterWaitOver {
    RequestKey request = RequestKey::none;
};

// What a window slice still has to post goes out.
struct FlushDue {
    SliceKey slice;
};

// Discovery failed a while ago and is to be asked again.
struct DiscoveryRetryDue {};

using Timer = std::variant<CounterWaitOver, FlushDue, DiscoveryRetryDue>;

class TimerTable {
public:
    void set(const Timer& timer, Duration after, Actions& actions) {
        constexpr Duration kMinDelay{1};
        const TimerId id{++lastId_};
        timers_[id] = timer;
        actions.push_back(SetTimer{id, std::max(after, kMinDelay)});
    }

    // Takes out the timer that fired; nothing for one that is not known.
    std::optional<Timer> take(TimerId id) {
        const auto found = timers_.find(id);
        if (found == timers_.end()) return std::nullopt;
        const Timer timer = found->second;
        timers_.erase(found);
        return timer;
    }

private:
    std::unordered_map<TimerId, Timer> timers_;
    std::uint64_t lastId_ = 0;
};

}  // namespace gateway
