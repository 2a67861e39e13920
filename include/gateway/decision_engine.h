// The decision engine of one gateway process. It takes events with their times and returns actions.
//
// It performs no I/O and reads no clock, so the tests, the simulator adapter and the gateway server run the
// same code. Its algorithms follow Šnuderl, "Rate limiting in API management"; docs/design.md lists what is
// kept and what is changed.
#pragma once

#include <cstdint>
#include <memory>

#include "gateway/actions.h"
#include "gateway/events.h"
#include "gateway/settings.h"

namespace gateway {

// Not thread-safe. A moved-from engine may only be destroyed or assigned to.
class DecisionEngine {
public:
    // Throws SettingsError if validate() finds a problem in the settings. Two engines with the same settings,
    // `seed` and events make the same decisions.
    DecisionEngine(Settings settings, std::uint64_t seed);
    ~DecisionEngine();
    DecisionEngine(const DecisionEngine&) = delete;
    DecisionEngine& operator=(const DecisionEngine&) = delete;
    DecisionEngine(DecisionEngine&&) noexcept;
    DecisionEngine& operator=(DecisionEngine&&) noexcept;

    // Handles an event that happened at `now`, and appends the resulting actions to `actions`. Precondition:
    // `now` is not earlier than in the previous call.
    void handle(TimePoint now, const Event& event, Actions& actions);

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace gateway
