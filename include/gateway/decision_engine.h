// The decision engine of one gateway process: events and a time in, actions out.
//
// It has no I/O and no clock, so tests, the simulator and the server on real sockets run the same code.
#pragma once

#include <cstdint>
#include <memory>

#include "gateway/actions.h"
#include "gateway/events.h"
#include "gateway/settings.h"

namespace gateway {

class DecisionEngine {
public:
    // Throws SettingsError where the settings can't be served. `seed` is for the
    // random draws: two engines with the same settings, seed and events decide alike.
    DecisionEngine(Settings settings, std::uint64_t seed);
    ~DecisionEngine();
    DecisionEngine(const DecisionEngine&) = delete;
    DecisionEngine& operator=(const DecisionEngine&) = delete;
    DecisionEngine(DecisionEngine&&) noexcept;
    DecisionEngine& operator=(DecisionEngine&&) noexcept;

    // Takes in one event that happens at `now` and appends what is to be done, in order. `now` must not go
    // back from one call to the next.
    void handle(TimePoint now, const Event& event, Actions& actions);

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace gateway
