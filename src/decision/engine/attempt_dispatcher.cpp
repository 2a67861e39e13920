#include "decision/engine/attempt_dispatcher.h"

#include <optional>

namespace gateway {

AttemptDispatcher::AttemptDispatcher(LatencyStats& latency, EndpointStats& stats, SlowStart& slowStart,
                                     ConcurrencyLimiter& limiter, EndpointSet& endpoints,
                                     EndpointPicker& picker, RetryPolicy& retryPolicy)
    : latency_(latency),
      stats_(stats),
      slowStart_(slowStart),
      limiter_(limiter),
      endpoints_(endpoints),
      picker_(picker),
      retryPolicy_(retryPolicy) {}

bool AttemptDispatcher::trySend(EventContext& context, Request& request) {
    const Duration timeout = latency_.timeLeft(request, context.now);
    const double work = latency_.relativeWork(request.arrival.requestClass);
    std::optional<std::size_t> slot;
    if (timeout > Duration{} && limiter_.hasCapacity(context.random))
        slot = picker_.pick(request, work, context.now, context.random);
    if (!slot) return false;

    Endpoint& endpoint = endpoints_.at(*slot);
    if (request.attempts.empty()) retryPolicy_.recordFirstAttempt();
    request.attempts.push_back({*slot, context.now, false, endpoint.entry().zone, endpoint.entry().cell});
    limiter_.beginAttempt();
    endpoint.beginAttempt(work);
    const Duration maxSendDelay = retryPolicy_.maxSendDelay(request, context.now);
    context.emit(SendAttempt{request.arrival.request, endpoint.entry().id, timeout, maxSendDelay});
    return true;
}

void AttemptDispatcher::recordEnd(Request& request, const AttemptEnded& ended, TimePoint now) {
    Attempt& attempt = request.attempts[static_cast<std::size_t>(ended.attempt)];
    attempt.ended = true;
    Endpoint& endpoint = endpoints_.at(attempt.endpointSlot);
    limiter_.endAttempt();
    endpoint.endAttempt();
    observe(request, ended, endpoint, now);
    if (!provesNotExecuted(ended.outcome) && !request.possibleExecution)
        request.possibleExecution = PossibleExecution{attempt.zone, attempt.cell, attempt.sentAt};
}

void AttemptDispatcher::observe(const Request& request, const AttemptEnded& ended, Endpoint& endpoint,
                                TimePoint now) {
    const AttemptSample sample = latency_.observe(request, ended);
    endpoint.observeAttempt(ended, sample, now);
    stats_.observe(endpoint.load(), endpoints_.endpointCount(), now);
    limiter_.observe(sample, ended.outcome);
    slowStart_.observe(endpoint, sample, now);
    if (ended.outcome == Outcome::ok)
        slowStart_.recordServed(endpoint, latency_.relativeWork(request.arrival.requestClass), now);
}

}  // namespace gateway
