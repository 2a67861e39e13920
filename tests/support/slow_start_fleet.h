// A simulated fleet of decision engines and stand-in endpoints, of which some are replaced and warm up, on a
// clock of its own.
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

// What one simulated fleet goes through. Endpoints are replaced within seven seconds, after ten seconds with
// constant load.
struct FleetScenario {
    const char* name;
    int gatewayCount;
    int endpointCount;
    int coresPerEndpoint;
    double meanWorkSeconds;       // time that a warm core needs for a request of mean work
    double load;                  // demand, as a share of the warm fleet's capacity
    double replacedShare = 0.6;   // of the endpoints
    double drainedShare = 0.1;    // of the endpoints, without a replacement
    double restartedShare = 0.1;  // of the gateways, which lose their state meanwhile
    double sameNameShare = 0.25;  // of the replaced endpoints, which come back under their old name
    double activeShare = 1;       // of the gateways, which receive all requests
    double initialLoadShare = 1;  // of the load, until the last endpoint is replaced
    int seedCount = 2;
    bool hasOtherSettings = false;  // a shorter and steeper slow start
};

std::ostream& operator<<(std::ostream& out, const FleetScenario& scenario);

// What endpoints that were warming up received. A window has the length of the settings' overload window and
// ends at an attempt that such an endpoint receives. Its allowance is the work that the settings' overload
// multiple allows; its bound adds the spread of a random process to the allowance.
struct OverloadTally {
    long windows = 0;
    long windowsOverBound = 0;
    long windowsOverInitialBound = 0;   // by the capacity at the window's begin
    double maxShareOfAllowance = 0;     // work in the fullest window
    double maxShareOfBound = 0;         // the same
    double maxShareOfInitialBound = 0;  // the same
    double receivedWork = 0;            // while warming up, in requests of mean work
    double possibleWork = 0;            // what the endpoints could have served meanwhile
    long requested = 0;                 // requests from the first replacement on
    long served = 0;                    // of these

    void add(const OverloadTally& other);
};

// Runs one scenario. Everything follows from the scenario and the seed.
class SlowStartFleet {
public:
    SlowStartFleet(const FleetScenario& scenario, std::uint64_t seed);

    // Plays the scenario to its end. Precondition: called once.
    OverloadTally run();

private:
    // One attempt at an endpoint.
    struct Attempt {
        std::size_t gateway = 0;
        int gatewayRun = 0;
        std::size_t request = 0;
        int number = 0;  // in its request, from 0
        std::size_t endpoint = 0;
        TimePoint sentAt{};
        bool ended = false;  // for the gateway
    };
    struct StandInEndpoint {
        EndpointEntry entry;
        TimePoint drainsAt = TimePoint::max();
        int busyCores = 0;
        std::deque<std::size_t> queue;                            // attempts
        std::deque<std::pair<TimePoint, double>> windowAttempts;  // and their work
        double windowWork = 0;
    };
    struct Gateway {
        std::unique_ptr<DecisionEngine> engine;
        int run = 0;  // raised by each restart
        std::vector<EndpointEntry> knownEndpoints;
    };
    struct ClientRequest {
        int requestClass = 0;
        double work = 1;  // in requests of mean work
        TimePoint deadline{};
        int attempts = 0;
        bool isRepeated = false;
        bool isMeasured = false;
    };
    struct ScheduledEvent {
        TimePoint when;
        std::uint64_t order;
        std::function<void()> run;

        // The earliest event is the greatest, as std::priority_queue needs it.
        bool operator<(const ScheduledEvent& other) const;
    };

    double drawFraction();
    std::size_t drawBelow(std::size_t bound);
    void schedule(TimePoint when, std::function<void()> run);
    void runEventsUntil(TimePoint end);

    // Capacity of a warm endpoint, in requests of mean work a second.
    double warmCapacity() const;
    double capacityShareAt(const StandInEndpoint& endpoint, TimePoint when) const;
    double possibleWork(const StandInEndpoint& endpoint) const;

    // Endpoints, and how gateways learn of them.
    std::size_t startEndpoint(const std::string& name, TimePoint startedAt);
    void startAndAnnounce(const std::string& name);
    void announce(std::size_t endpoint);
    void learnEntry(std::size_t gateway, std::size_t endpoint, const EndpointEntry& entry);
    void drainEndpoint(std::size_t endpoint);
    void scheduleChanges();
    void scheduleReplacement(std::size_t endpoint, TimePoint when, std::size_t number, bool keepsName);
    void scheduleGatewayRestarts();
    std::size_t endpointShare(double share) const;

    void startGateway(std::size_t index);
    void feed(std::size_t gateway, const Event& event);

    // Requests of clients.
    void arriveRequest();
    void sendRequest(ClientRequest request);
    void repeatRejected(std::size_t rejected);

    // Attempts at endpoints.
    void receiveAttempt(std::size_t gateway, const SendAttempt& send);
    void beginWork(std::size_t attempt);
    void finishWork(std::size_t attempt);
    void endAttempt(std::size_t index, Outcome outcome);
    void countWindow(StandInEndpoint& endpoint, double work);

    FleetScenario scenario_;
    Settings settings_;
    std::mt19937_64 random_;
    TimePoint now_;
    std::uint64_t nextOrder_ = 0;
    std::priority_queue<ScheduledEvent> events_;
    std::deque<StandInEndpoint> endpoints_;
    // Under a name that came back, the later endpoint.
    std::unordered_map<EndpointId, std::size_t> endpointByName_;
    std::vector<Gateway> gateways_;
    std::deque<ClientRequest> requests_;
    std::deque<Attempt> attempts_;
    OverloadTally tally_;
};

}  // namespace gateway
