// The decision engine of one gateway process: events and a time in, actions out.
//
// It has no I/O and no clock, so tests, the simulator and the server on real sockets run the same code. After
// Šnuderl, "Rate limiting in API management"; docs/design.md lists what is kept and what is changed.
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
    // Throws SettingsError if the settings can't be used. Two engines with the same settings, `seed` and
    // events make the same decisions.
    DecisionEngine(Settings settings, std::uint64_t seed);
    ~DecisionEngine();
    DecisionEngine(const DecisionEngine&) = delete;
    DecisionEngine& operator=(const DecisionEngine&) = delete;
    DecisionEngine(DecisionEngine&&) noexcept;
    DecisionEngine& operator=(DecisionEngine&&) noexcept;

    // Handles one event that happens at `now`, and appends the actions that follow to `actions`. The caller
    // carries them out in order. Precondition: `now` is not before that of the previous call.
    void handle(TimePoint now, const Event& event, Actions& actions);

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace gateway
