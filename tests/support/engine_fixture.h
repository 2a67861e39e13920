// A decision engine with a simulated clock and a simulated counter service.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gateway/decision_engine.h"

namespace gateway {

using std::chrono::milliseconds;

// Settings with one safe request class, and one quota plan with a rate of 2 and a burst of 8 cost units, so
// that a window slice lasts 4 s.
Settings plainSettings();

// The engine of one gateway. Collects the engine's actions. The counter service replies at once while
// `isCounterAnswering`. Only advance() moves the clock, and fires the timers that expire.
class EngineFixture {
public:
    // Starts an engine and reports endpoints "w0", "w1" and so on to it, two in each cell.
    explicit EngineFixture(const Settings& engineSettings, int endpoints = 4);

    static EndpointEntry entry(const std::string& id, CellId cell = {});

    // Passes an event to the engine and collects the resulting actions.
    void handle(const Event& event);

    void advance(Duration step);

    // Sends a request and returns its id. `timeToDeadline`: from now to the deadline of the client.
    std::string request(double cost = 1, std::uint64_t tenant = 5,
                        Duration timeToDeadline = milliseconds(2500), int entryPoints = 2);

    // Reports the end of an attempt that took 50 ms.
    void endAttempt(const SendAttempt& send, int attempt, Outcome outcome, bool requestClosed,
                    std::optional<double> actualCost = {});

    // Reports a failure of each call in `unansweredAdds`.
    void failUnansweredAdds(Outcome outcome);

    // The sum of the totals of all names on the counter service.
    double counterTotal() const;

    Settings settings;
    DecisionEngine engine;
    TimePoint now{milliseconds(100'000)};
    bool isCounterAnswering = true;
    int addCount = 0;
    int requests = 0;
    std::map<std::string, double> counts;
    std::vector<CounterReplied> queuedReplies;  // delivered to the engine after the present event
    std::vector<AddToCounter> unansweredAdds;   // adds that the counter service has not replied to
    std::multimap<TimePoint, TimerId> timers;
    std::vector<SendAttempt> sends;
    std::vector<RejectRequest> rejections;
    std::vector<FailRequest> failures;
    Actions otherActions;

private:
    void collect(const Action& action);
    void add(const AddToCounter& add);
};

}  // namespace gateway
