#include "support/engine_fixture.h"

#include <utility>
#include <variant>

#include "decision/common/overloaded.h"

namespace gateway {
namespace {

constexpr std::uint64_t kSeed = 7;
constexpr int kEndpointsPerCell = 2;
constexpr Duration kAttemptTime = milliseconds(50);
constexpr Duration kCounterFailureTime = milliseconds(30);

}  // namespace

Settings plainSettings() {
    RequestClass requestClass;
    requestClass.latencyObjective = milliseconds(600);
    requestClass.deadline = milliseconds(2500);
    QuotaPlan plan;
    plan.rate = 2;
    plan.burst = 8;
    Settings settings;
    settings.classes = {requestClass};
    settings.plans = {plan};
    settings.gatewayCount = 2;
    settings.cancellationAllowed = true;
    settings.retryAfterAllowed = true;
    settings.maxAttempts = 4;
    settings.maxRetryAfter = milliseconds(500);
    settings.counterEnabled = true;
    settings.counterTimeout = milliseconds(30);
    settings.maxRequestCost = 2;
    settings.responseSlack = milliseconds(16);
    settings.drainGracePeriod = milliseconds(250);
    settings.slowStartInitialShare = 0.25;
    settings.slowStartDuration = milliseconds(16000);
    settings.overloadMultiple = 2;
    settings.overloadWindow = milliseconds(1000);
    return settings;
}

EngineFixture::EngineFixture(const Settings& engineSettings, int endpoints)
    : settings(engineSettings), engine(engineSettings, kSeed) {
    EndpointUpdate list;
    list.kind = UpdateKind::cached;
    for (int i = 0; i < endpoints; ++i)
        list.entries.push_back(entry("w" + std::to_string(i), CellId{i / kEndpointsPerCell}));
    handle(list);
}

EndpointEntry EngineFixture::entry(const std::string& id, CellId cell) {
    EndpointEntry entry;
    entry.id = EndpointId(id);
    entry.cell = cell;
    return entry;
}

void EngineFixture::handle(const Event& event) {
    Actions actions;
    engine.handle(now, event, actions);
    for (const Action& action : actions) collect(action);
    while (!queuedReplies.empty()) {
        const CounterReplied reply = queuedReplies.front();
        queuedReplies.erase(queuedReplies.begin());
        handle(reply);
    }
}

void EngineFixture::collect(const Action& action) {
    const Overloaded collector{
        [&](const AddToCounter& call) { add(call); },
        [&](const SetTimer& timer) { timers.emplace(now + timer.delay, timer.timer); },
        [&](const SendAttempt& send) { sends.push_back(send); },
        [&](const RejectRequest& rejection) { rejections.push_back(rejection); },
        [&](const FailRequest& failure) { failures.push_back(failure); },
        [&](const auto& other) { otherActions.emplace_back(other); },
    };
    std::visit(collector, action);
}

void EngineFixture::add(const AddToCounter& add) {
    ++addCount;
    if (!isCounterAnswering) {
        unansweredAdds.push_back(add);
        return;
    }
    double& total = counts[add.name];
    total += add.amount;
    queuedReplies.push_back({add.name, Outcome::ok, total, {}});
}

void EngineFixture::advance(Duration step) {
    const TimePoint until = now + step;
    while (!timers.empty() && timers.begin()->first <= until) {
        now = timers.begin()->first;
        const TimerId timer = timers.begin()->second;
        timers.erase(timers.begin());
        handle(TimerFired{timer});
    }
    now = until;
}

std::string EngineFixture::request(double cost, std::uint64_t tenant, Duration timeToDeadline,
                                   int entryPoints) {
    RequestArrived arrival;
    arrival.request = RequestId("r" + std::to_string(++requests));
    arrival.tenant = TenantId{tenant};
    arrival.cost = cost;
    arrival.entryPoints = entryPoints;
    arrival.deadline = now + timeToDeadline;
    handle(arrival);
    return arrival.request.value();
}

void EngineFixture::endAttempt(const SendAttempt& send, int attempt, Outcome outcome, bool requestClosed,
                               std::optional<double> actualCost) {
    AttemptEnded ended;
    ended.request = send.request;
    ended.attempt = attempt;
    ended.endpoint = send.endpoint;
    ended.outcome = outcome;
    ended.elapsed = kAttemptTime;
    ended.requestClosed = requestClosed;
    ended.actualCost = actualCost;
    handle(ended);
}

void EngineFixture::failUnansweredAdds(Outcome outcome) {
    const std::vector<AddToCounter> failing = std::exchange(unansweredAdds, {});
    for (const AddToCounter& add : failing) handle(CounterReplied{add.name, outcome, 0, kCounterFailureTime});
}

double EngineFixture::counterTotal() const {
    double sum = 0;
    for (const auto& [name, total] : counts) sum += total;
    return sum;
}

}  // namespace gateway
