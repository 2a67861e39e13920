// The clock, the gateways and the clients of the simulated fleet, and the changes of its endpoints.
#include "support/slow_start_fleet.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "decision/common/arithmetic.h"

namespace gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kOrigin{seconds(1000)};
constexpr Duration kSettlingTime = seconds(10);  // before endpoints are replaced
constexpr Duration kReplacementTime = seconds(7);
constexpr Duration kMaxAnnouncementDelay = milliseconds(500);
constexpr Duration kDrainTime = milliseconds(1500);        // from draining to the end of the process
constexpr Duration kReplacementDelay = milliseconds(200);  // of an endpoint with another name
constexpr Duration kClientRetryDelay = milliseconds(300);
constexpr std::size_t kNameStride = 100;    // numbers between the names of two series of endpoints
constexpr int kFirstEndpointNumber = 1000;  // gives all names the same length

constexpr double kHeavyShare = 0.3;  // of the requests
constexpr double kLightWork = 0.6;   // mean work of a light request, in requests of mean work
constexpr double kHeavyWork = 1.9333;

std::string paddedNumber(std::size_t number) {
    return std::to_string(kFirstEndpointNumber + number);
}

Settings settingsOf(const FleetScenario& scenario) {
    constexpr double kObjectiveMillisecondsPerSecondOfWork = 30'000;
    const auto objective = std::llround(scenario.meanWorkSeconds * kObjectiveMillisecondsPerSecondOfWork);
    Settings settings;
    RequestClass light;
    light.latencyObjective = std::max(milliseconds(1000), milliseconds(objective));
    light.deadline = light.latencyObjective * 2;
    const RequestClass heavy = light;
    settings.classes = {light, heavy};
    settings.gatewayCount = scenario.gatewayCount;
    settings.loadReportSource = LoadReportSource::inResponses;
    settings.maxAttempts = 3;
    settings.slowStartInitialShare = scenario.hasOtherSettings ? 0.3 : 0.16;
    settings.slowStartDuration = seconds(scenario.hasOtherSettings ? 9 : 16);
    settings.overloadMultiple = scenario.hasOtherSettings ? 1.5 : 2.5;
    settings.overloadWindow = seconds(scenario.hasOtherSettings ? 2 : 3);
    return settings;
}

}  // namespace

std::ostream& operator<<(std::ostream& out, const FleetScenario& scenario) {
    return out << scenario.name;
}

void OverloadStats::add(const OverloadStats& other) {
    windows += other.windows;
    windowsOverBound += other.windowsOverBound;
    windowsOverInitialBound += other.windowsOverInitialBound;
    maxShareOfAllowance = std::max(maxShareOfAllowance, other.maxShareOfAllowance);
    maxShareOfBound = std::max(maxShareOfBound, other.maxShareOfBound);
    maxShareOfInitialBound = std::max(maxShareOfInitialBound, other.maxShareOfInitialBound);
    receivedWork += other.receivedWork;
    possibleWork += other.possibleWork;
    requested += other.requested;
    served += other.served;
}

SlowStartFleet::SlowStartFleet(const FleetScenario& scenario, std::uint64_t seed)
    : scenario_(scenario), settings_(settingsOf(scenario)), random_(seed), now_(kOrigin) {
    for (int i = 0; i < scenario_.endpointCount; ++i)
        startEndpoint("s" + paddedNumber(static_cast<std::size_t>(i)), TimePoint{});
    std::vector<EndpointEntry> entries;
    for (const SimulatedEndpoint& endpoint : endpoints_) entries.push_back(endpoint.entry);
    for (int i = 0; i < scenario_.gatewayCount; ++i) {
        gateways_.emplace_back();
        gateways_.back().knownEndpoints = entries;
        startGateway(gateways_.size() - 1);
    }
    scheduleChanges();
}

OverloadStats SlowStartFleet::run() {
    schedule(kOrigin, [this] { generateRequest(); });
    runEventsUntil(kOrigin + kSettlingTime + kReplacementTime + settings_.slowStartDuration);
    for (const SimulatedEndpoint& endpoint : endpoints_) stats_.possibleWork += possibleWork(endpoint);
    return stats_;
}

bool SlowStartFleet::ScheduledEvent::operator<(const ScheduledEvent& other) const {
    return when != other.when ? when > other.when : order > other.order;
}

double SlowStartFleet::drawFraction() {
    constexpr int kUnusedBits = 11;  // a double has 53 bits of precision
    return static_cast<double>(random_() >> kUnusedBits) * 0x1.0p-53;
}

std::size_t SlowStartFleet::drawBelow(std::size_t bound) {
    return random_() % bound;
}

void SlowStartFleet::schedule(TimePoint when, std::function<void()> run) {
    events_.push({when, nextOrder_, std::move(run)});
    ++nextOrder_;
}

void SlowStartFleet::runEventsUntil(TimePoint end) {
    while (!events_.empty() && events_.top().when < end) {
        const ScheduledEvent event = events_.top();
        events_.pop();
        now_ = event.when;
        event.run();
    }
}

std::size_t SlowStartFleet::startEndpoint(const std::string& name, TimePoint startedAt) {
    SimulatedEndpoint endpoint;
    endpoint.entry.id = EndpointId(name);
    endpoint.entry.startedAt = startedAt;
    endpointByName_[endpoint.entry.id] = endpoints_.size();
    endpoints_.push_back(std::move(endpoint));
    for (Gateway& gateway : gateways_) {
        gateway.knownEndpoints.emplace_back();
        gateway.knownEndpoints.back().availability = Availability::removed;
    }
    return endpoints_.size() - 1;
}

void SlowStartFleet::startAndAnnounce(const std::string& name) {
    announce(startEndpoint(name, now_));
}

// Delivers the endpoint's present entry to every gateway, to each after another random delay.
void SlowStartFleet::announce(std::size_t endpoint) {
    const EndpointEntry entry = endpoints_[endpoint].entry;
    for (std::size_t gateway = 0; gateway < gateways_.size(); ++gateway) {
        const Duration delay(drawBelow(static_cast<std::size_t>(kMaxAnnouncementDelay.count())));
        schedule(now_ + delay, [this, gateway, endpoint, entry] { deliverEntry(gateway, endpoint, entry); });
    }
}

void SlowStartFleet::deliverEntry(std::size_t gateway, std::size_t endpoint, const EndpointEntry& entry) {
    gateways_[gateway].knownEndpoints[endpoint] = entry;
    EndpointUpdate update;
    update.entries = {entry};
    handleEvent(gateway, update);
}

void SlowStartFleet::drainEndpoint(std::size_t endpoint) {
    endpoints_[endpoint].drainsAt = now_;
    endpoints_[endpoint].entry.availability = Availability::draining;
    announce(endpoint);
    schedule(now_ + kDrainTime, [this, endpoint] {
        endpoints_[endpoint].entry.availability = Availability::removed;
        announce(endpoint);
    });
}

// Replaces and drains endpoints in random order, at regular times within kReplacementTime.
void SlowStartFleet::scheduleChanges() {
    std::vector<std::size_t> order(endpoints_.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    for (std::size_t i = order.size(); i > 1; --i) std::swap(order[i - 1], order[drawBelow(i)]);
    const auto timeOf = [](std::size_t position, std::size_t count) {
        const Duration offset = kReplacementTime * static_cast<int>(position) / static_cast<int>(count);
        return kOrigin + kSettlingTime + offset;
    };
    const std::size_t replaced = endpointCountFor(scenario_.replacedShare);
    const std::size_t drained = std::min(endpointCountFor(scenario_.drainedShare), order.size() - replaced);
    const double sameName = scenario_.sameNameShare * static_cast<double>(replaced);
    for (std::size_t i = 0; i < replaced; ++i)
        scheduleReplacement(order[i], timeOf(i, replaced), i, static_cast<double>(i) < sameName);
    for (std::size_t i = 0; i < drained; ++i)
        schedule(timeOf(i, drained), [this, endpoint = order[replaced + i]] { drainEndpoint(endpoint); });
    scheduleGatewayRestarts();
}

// A replacement with the same name starts after the old process has ended, one with another name before that.
void SlowStartFleet::scheduleReplacement(std::size_t endpoint, TimePoint when, std::size_t number,
                                         bool keepsName) {
    schedule(when, [this, endpoint] { drainEndpoint(endpoint); });
    if (keepsName) {
        const std::string name = endpoints_[endpoint].entry.id.value();
        schedule(when + kDrainTime + kMaxAnnouncementDelay, [this, name] { startAndAnnounce(name); });
    } else {
        const std::string name = "t" + paddedNumber(drawBelow(kNameStride) * kNameStride + number);
        schedule(when + kReplacementDelay, [this, name] { startAndAnnounce(name); });
    }
}

void SlowStartFleet::scheduleGatewayRestarts() {
    const int restarts = static_cast<int>(std::lround(scenario_.restartedShare * scenario_.gatewayCount));
    for (int i = 0; i < restarts; ++i) {
        const std::size_t gateway = drawBelow(gateways_.size());
        const Duration offset = kReplacementTime * (i + 1) / restarts + milliseconds(1);
        schedule(kOrigin + kSettlingTime + offset, [this, gateway] { startGateway(gateway); });
    }
}

std::size_t SlowStartFleet::endpointCountFor(double share) const {
    return static_cast<std::size_t>(std::llround(share * static_cast<double>(scenario_.endpointCount)));
}

void SlowStartFleet::startGateway(std::size_t index) {
    Gateway& gateway = gateways_[index];
    Settings settings = settings_;
    settings.gatewayIndex = static_cast<int>(index);
    ++gateway.run;
    gateway.engine = std::make_unique<DecisionEngine>(settings, random_());
    EndpointUpdate list;
    list.kind = UpdateKind::cached;
    for (const EndpointEntry& entry : gateway.knownEndpoints)
        if (entry.availability != Availability::removed) list.entries.push_back(entry);
    handleEvent(index, list);
}

void SlowStartFleet::handleEvent(std::size_t gateway, const Event& event) {
    Actions actions;
    gateways_[gateway].engine->handle(now_, event, actions);
    for (const Action& action : actions) {
        if (const auto* send = std::get_if<SendAttempt>(&action))
            receiveAttempt(gateway, *send);
        else if (const auto* rejection = std::get_if<RejectRequest>(&action))
            retryRejected(std::stoul(rejection->request.value()));
    }
}

// Requests arrive as a Poisson process.
void SlowStartFleet::generateRequest() {
    const bool isInitial = now_ < kOrigin + kSettlingTime + kReplacementTime;
    const double loadShare = isInitial ? scenario_.initialLoadShare : 1;
    const double rate = scenario_.load * scenario_.endpointCount * warmCapacity() * loadShare;
    schedule(now_ + fromSeconds(-std::log(1 - drawFraction()) / rate), [this] { generateRequest(); });
    ClientRequest request;
    request.requestClass = drawFraction() < kHeavyShare ? 1 : 0;
    request.work = (request.requestClass == 1 ? kHeavyWork : kLightWork) * (0.5 + drawFraction());
    request.isMeasured = now_ >= kOrigin + kSettlingTime;
    if (request.isMeasured) ++stats_.requested;
    sendRequest(request);
}

void SlowStartFleet::sendRequest(ClientRequest request) {
    const double activeGateways = std::max(1.0, scenario_.activeShare * scenario_.gatewayCount);
    const auto gateway = static_cast<std::size_t>(drawFraction() * activeGateways);
    request.deadline = now_ + settings_.classes[0].deadline;
    RequestArrived arrival;
    arrival.request = RequestId(std::to_string(requests_.size()));
    arrival.requestClass = RequestClassIndex{request.requestClass};
    arrival.deadline = request.deadline;
    requests_.push_back(request);
    handleEvent(gateway, arrival);
}

// The client of a rejected request retries it once, through a random gateway.
void SlowStartFleet::retryRejected(std::size_t rejected) {
    ClientRequest request = requests_[rejected];
    if (request.isRetry) return;
    request.isRetry = true;
    request.attempts = 0;
    schedule(now_ + kClientRetryDelay, [this, request] { sendRequest(request); });
}

}  // namespace gateway
