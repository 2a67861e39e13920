// The timers that the decision module has set, and what each is for.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <variant>

#include "decision/request_table.h"
#include "gateway/actions.h"

namespace gateway {

// A request has waited for the counter long enough.
struct CounterWaitOver {
    RequestKey request = 0;
};

// What a window slice still has to post goes out.
struct FlushDue {
    TenantId tenant = 0;
    std::int64_t sliceIndex = 0;
};

// Discovery failed a while ago and is to be asked again.
struct DiscoveryRetryDue {};

using Timer = std::variant<CounterWaitOver, FlushDue, DiscoveryRetryDue>;

class TimerTable {
public:
    void set(const Timer& timer, Duration after, Actions& actions) {
        constexpr Duration kMinDelay{1};
        timers_[next_] = timer;
        actions.push_back(SetTimer{next_++, std::max(after, kMinDelay)});
    }

    // Takes out the timer that fired; nothing for one that is not known.
    std::optional<Timer> take(std::uint64_t number) {
        const auto found = timers_.find(number);
        if (found == timers_.end()) return std::nullopt;
        const Timer timer = found->second;
        timers_.erase(found);
        return timer;
    }

private:
    std::unordered_map<std::uint64_t, Timer> timers_;
    std::uint64_t next_ = 1;
};

}  // namespace gateway
