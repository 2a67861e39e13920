// A decision engine with a clock and a counter service of the test's own.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gateway/decision_engine.h"

namespace gateway {

using std::chrono::milliseconds;

// Settings with one safe request class and one plan of 2 cost units a second with a burst of 8, so that a
// window slice lasts 4 s.
Settings plainSettings();

// One gateway's engine. Actions are collected as they come; the counter service replies at once while
// `isCounterAnswering`. Time moves by advance() alone, which fires the timers that are due.
class EngineFixture {
public:
    // Starts an engine and reports endpoints "w0", "w1" and so on to it, two in a cell.
    explicit EngineFixture(const Settings& engineSettings, int endpoints = 4);

    static EndpointEntry entry(const std::string& id, CellId cell = {});

    // Hands an event to the engine and collects its actions.
    void handle(const Event& event);

    void advance(Duration step);

    // Sends a request and returns its id. `patience`: from now to the client's deadline.
    std::string request(double cost = 1, std::uint64_t tenant = 5, Duration patience = milliseconds(2500),
                        int entryPoints = 2);

    // Ends an attempt after 50 ms.
    void endAttempt(const SendAttempt& send, int attempt, Outcome outcome, bool requestClosed,
                    std::optional<double> actualCost = {});

    // Replies to each unanswered add with a failure.
    void failUnansweredAdds(Outcome outcome);

    // The sum over all names on the counter service.
    double counterTotal() const;

    Settings settings;
    DecisionEngine engine;
    TimePoint now{milliseconds(100'000)};
    bool isCounterAnswering = true;
    int addCount = 0;
    int requests = 0;
    std::map<std::string, double> counts;
    std::vector<CounterReplied> answers;
    std::vector<AddToCounter> unansweredAdds;  // adds that the counter service has not replied to
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
