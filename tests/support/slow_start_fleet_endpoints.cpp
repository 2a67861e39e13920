// The simulated endpoints of the fleet, and the statistics on the attempts that they receive.
#include <algorithm>
#include <cmath>

#include "decision/common/arithmetic.h"
#include "support/slow_start_fleet.h"

namespace gateway {
namespace {

constexpr Duration kRefusalTime = std::chrono::milliseconds(1);
constexpr std::size_t kMaxQueuePerCore = 8;

}  // namespace

double SlowStartFleet::warmCapacity() const {
    return scenario_.coresPerEndpoint / scenario_.meanWorkSeconds;
}

double SlowStartFleet::capacityShareAt(const SimulatedEndpoint& endpoint, TimePoint when) const {
    if (endpoint.entry.startedAt == TimePoint{}) return 1;
    const double age = toSeconds(when - endpoint.entry.startedAt) / toSeconds(settings_.slowStartDuration);
    return settings_.slowStartInitialShare +
           (1 - settings_.slowStartInitialShare) * std::clamp(age, 0.0, 1.0);
}

// Work that the endpoint could have served while it was warming up, in requests of mean work.
double SlowStartFleet::possibleWork(const SimulatedEndpoint& endpoint) const {
    const TimePoint startedAt = endpoint.entry.startedAt;
    const double from = secondsSinceEpoch(startedAt);
    const double until =
        secondsSinceEpoch(std::min({now_, endpoint.drainsAt, startedAt + settings_.slowStartDuration}));
    if (from <= 0 || until <= from) return 0;
    const TimePoint middle{fromSeconds((from + until) / 2)};
    return (until - from) * capacityShareAt(endpoint, middle) * warmCapacity();
}

void SlowStartFleet::receiveAttempt(std::size_t gateway, const SendAttempt& send) {
    const std::size_t request = std::stoul(send.request.value());
    const std::size_t endpointIndex = endpointByName_.at(send.endpoint);
    SimulatedEndpoint& endpoint = endpoints_[endpointIndex];
    evaluateWindow(endpoint, requests_[request].work);
    const std::size_t attempt = attempts_.size();
    const int number = requests_[request].attempts;
    ++requests_[request].attempts;
    attempts_.push_back({gateway, gateways_[gateway].run, request, number, endpointIndex, now_, false});
    schedule(now_ + send.timeout, [this, attempt] { endAttempt(attempt, Outcome::timedOut); });
    const auto cores = static_cast<std::size_t>(scenario_.coresPerEndpoint);
    if (endpoint.entry.availability == Availability::removed)
        schedule(now_ + kRefusalTime, [this, attempt] { endAttempt(attempt, Outcome::connectFailed); });
    else if (endpoint.busyCores < scenario_.coresPerEndpoint)
        beginWork(attempt);
    else if (endpoint.queue.size() < kMaxQueuePerCore * cores)
        endpoint.queue.push_back(attempt);
    else
        schedule(now_ + kRefusalTime, [this, attempt] { endAttempt(attempt, Outcome::rejected); });
}

void SlowStartFleet::beginWork(std::size_t attempt) {
    SimulatedEndpoint& endpoint = endpoints_[attempts_[attempt].endpoint];
    ++endpoint.busyCores;
    const double work = requests_[attempts_[attempt].request].work;
    const double workSeconds = work * scenario_.meanWorkSeconds / capacityShareAt(endpoint, now_);
    schedule(now_ + fromSeconds(workSeconds), [this, attempt] { finishWork(attempt); });
}

void SlowStartFleet::finishWork(std::size_t attempt) {
    endAttempt(attempt, Outcome::ok);
    SimulatedEndpoint& endpoint = endpoints_[attempts_[attempt].endpoint];
    --endpoint.busyCores;
    while (!endpoint.queue.empty() && endpoint.busyCores < scenario_.coresPerEndpoint) {
        const std::size_t next = endpoint.queue.front();
        endpoint.queue.pop_front();
        if (!attempts_[next].ended) beginWork(next);
    }
}

void SlowStartFleet::endAttempt(std::size_t index, Outcome outcome) {
    Attempt& attempt = attempts_[index];
    if (attempt.ended) return;
    attempt.ended = true;
    const ClientRequest& request = requests_[attempt.request];
    if (outcome == Outcome::ok && request.isMeasured) ++stats_.served;
    if (gateways_[attempt.gateway].run != attempt.gatewayRun) return;  // the gateway has restarted
    const SimulatedEndpoint& endpoint = endpoints_[attempt.endpoint];
    AttemptEnded ended;
    ended.request = RequestId(std::to_string(attempt.request));
    ended.attempt = attempt.number;
    ended.endpoint = endpoint.entry.id;
    ended.outcome = outcome;
    ended.elapsed = now_ - attempt.sentAt;
    ended.requestClosed = outcome == Outcome::ok || now_ >= request.deadline;
    if (outcome == Outcome::ok || outcome == Outcome::rejected) {
        ended.loadReport.emplace();
        ended.loadReport->inFlight = endpoint.busyCores + static_cast<double>(endpoint.queue.size());
    }
    handleEvent(attempt.gateway, ended);
}

// Evaluates the window that ends now, when the endpoint receives an attempt, if the endpoint is warming up.
void SlowStartFleet::evaluateWindow(SimulatedEndpoint& endpoint, double work) {
    const double share = capacityShareAt(endpoint, now_);
    if (share >= 1) return;
    if (now_ < endpoint.drainsAt) stats_.receivedWork += work;
    endpoint.windowAttempts.emplace_back(now_, work);
    endpoint.windowWork += work;
    const TimePoint begin = now_ - settings_.overloadWindow;
    while (endpoint.windowAttempts.front().first <= begin) {
        endpoint.windowWork -= endpoint.windowAttempts.front().second;
        endpoint.windowAttempts.pop_front();
    }
    const auto allowanceOf = [&](double capacityShare) {
        return settings_.overloadMultiple * capacityShare * warmCapacity() *
               toSeconds(settings_.overloadWindow);
    };
    const auto boundOf = [](double allowance) { return allowance + 2 * std::sqrt(allowance) + 2; };
    const double allowance = allowanceOf(share);
    const double bound = boundOf(allowance);
    const double initialBound = boundOf(allowanceOf(capacityShareAt(endpoint, begin)));
    ++stats_.windows;
    if (endpoint.windowWork > bound) ++stats_.windowsOverBound;
    if (endpoint.windowWork > initialBound) ++stats_.windowsOverInitialBound;
    stats_.maxShareOfAllowance = std::max(stats_.maxShareOfAllowance, endpoint.windowWork / allowance);
    stats_.maxShareOfBound = std::max(stats_.maxShareOfBound, endpoint.windowWork / bound);
    stats_.maxShareOfInitialBound =
        std::max(stats_.maxShareOfInitialBound, endpoint.windowWork / initialBound);
}

}  // namespace gateway
