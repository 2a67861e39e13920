// A fleet of decision engines with simulated endpoints, clients and clock. Some of the endpoints are
// replaced, and the new ones warm up.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <ostream>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "gateway/decision_engine.h"

namespace gateway {

// The size, the load and the changes of one simulated fleet. All replacements begin within seven seconds,
// after ten seconds without changes.
struct FleetScenario {
    const char* name;
    int gatewayCount;
    int endpointCount;
    int coresPerEndpoint;
    double meanWorkSeconds;       // time in which a warm core serves a request of mean work
    double load;                  // demand, as a share of the capacity of all endpoints when warm
    double replacedShare = 0.6;   // of the endpoints
    double drainedShare = 0.1;    // of the endpoints, without a replacement
    double restartedShare = 0.1;  // of the gateways, which lose their state
    double sameNameShare = 0.25;  // of the replaced endpoints: those whose replacement has the same name
    double activeShare = 1;       // of the gateways: those that receive requests
    double initialLoadShare = 1;  // of the load, until all replacements have begun
    int seedCount = 2;
    bool hasOtherSettings = false;  // a shorter and steeper slow start
};

std::ostream& operator<<(std::ostream& out, const FleetScenario& scenario);

// Statistics on the attempts that endpoints received while warming up. A window has the length of the
// settings' overload window and ends when such an endpoint receives an attempt. Its allowance is the work
// that the settings' overload multiple allows; its bound adds a margin for random variation to the allowance.
struct OverloadStats {
    long windows = 0;
    long windowsOverBound = 0;
    long windowsOverInitialBound = 0;   // the bound by the endpoint's capacity when the window begins
    double maxShareOfAllowance = 0;     // max of a window's work divided by its allowance
    double maxShareOfBound = 0;         // max of a window's work divided by its bound
    double maxShareOfInitialBound = 0;  // max of a window's work divided by its initial bound
    double receivedWork = 0;            // by endpoints warming up, in requests of mean work
    double possibleWork = 0;            // work that these endpoints could have served in that time
    long requested = 0;                 // requests since the first replacement
    long served = 0;                    // how many of these were served

    void add(const OverloadStats& other);
};

// Runs one scenario. The scenario and the seed determine the result.
class SlowStartFleet {
public:
    SlowStartFleet(const FleetScenario& scenario, std::uint64_t seed);

    // Runs the scenario to its end. May be called once only.
    OverloadStats run();

private:
    // One attempt at an endpoint.
    struct Attempt {
        std::size_t gateway = 0;
        int gatewayRun = 0;
        std::size_t request = 0;
        int number = 0;  // position among the attempts of its request, from 0
        std::size_t endpoint = 0;
        TimePoint sentAt{};
        bool ended = false;  // the gateway has received its outcome
    };
    struct SimulatedEndpoint {
        EndpointEntry entry;
        TimePoint drainsAt = TimePoint::max();
        int busyCores = 0;
        std::deque<std::size_t> queue;                            // indices of attempts
        std::deque<std::pair<TimePoint, double>> windowAttempts;  // times and work of those in the window
        double windowWork = 0;
    };
    struct Gateway {
        std::unique_ptr<DecisionEngine> engine;
        int run = 0;  // number of starts
        std::vector<EndpointEntry> knownEndpoints;
    };
    struct ClientRequest {
        int requestClass = 0;
        double work = 1;  // in requests of mean work
        TimePoint deadline{};
        int attempts = 0;
        bool isRetry = false;
        bool isMeasured = false;
    };
    struct ScheduledEvent {
        TimePoint when;
        std::uint64_t order;
        std::function<void()> run;

        // The earliest event compares as the greatest, so that it is the top of a std::priority_queue.
        bool operator<(const ScheduledEvent& other) const;
    };

    double drawFraction();
    std::size_t drawBelow(std::size_t bound);
    void schedule(TimePoint when, std::function<void()> run);
    void runEventsUntil(TimePoint end);

    // Capacity of a warm endpoint, in requests of mean work per second.
    double warmCapacity() const;
    double capacityShareAt(const SimulatedEndpoint& endpoint, TimePoint when) const;
    double possibleWork(const SimulatedEndpoint& endpoint) const;

    // Changes of endpoints and gateways.
    std::size_t startEndpoint(const std::string& name, TimePoint startedAt);
    void startAndAnnounce(const std::string& name);
    void announce(std::size_t endpoint);
    void deliverEntry(std::size_t gateway, std::size_t endpoint, const EndpointEntry& entry);
    void drainEndpoint(std::size_t endpoint);
    void scheduleChanges();
    void scheduleReplacement(std::size_t endpoint, TimePoint when, std::size_t number, bool keepsName);
    void scheduleGatewayRestarts();
    std::size_t endpointCountFor(double share) const;

    void startGateway(std::size_t index);
    void handleEvent(std::size_t gateway, const Event& event);

    // Clients.
    void generateRequest();
    void sendRequest(ClientRequest request);
    void retryRejected(std::size_t rejected);

    // Endpoints.
    void receiveAttempt(std::size_t gateway, const SendAttempt& send);
    void beginWork(std::size_t attempt);
    void finishWork(std::size_t attempt);
    void endAttempt(std::size_t index, Outcome outcome);
    void evaluateWindow(SimulatedEndpoint& endpoint, double work);

    FleetScenario scenario_;
    Settings settings_;
    std::mt19937_64 random_;
    TimePoint now_;
    std::uint64_t nextOrder_ = 0;
    std::priority_queue<ScheduledEvent> events_;
    std::deque<SimulatedEndpoint> endpoints_;
    // The latest endpoint of each name.
    std::unordered_map<EndpointId, std::size_t> endpointByName_;
    std::vector<Gateway> gateways_;
    std::deque<ClientRequest> requests_;
    std::deque<Attempt> attempts_;
    OverloadStats stats_;
};

}  // namespace gateway
