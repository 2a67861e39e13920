#include "decision/engine/request_lifecycle.h"

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "decision/common/arithmetic.h"

namespace gateway {
namespace {

// Longest wait for the counter, as a share of the latency objective.
constexpr double kMaxCounterWaitShare = 0.1;

// A request is answered without an attempt if the time until its deadline is less than this share of the
// expected response time.
constexpr double kMinRemainingTimeShare = 0.3;

// How long a client may send a request again, with the same id, on another connection.
constexpr Duration kMinExecutedRetention = std::chrono::seconds(30);
constexpr int kExecutedRetentionDeadlines = 2;

Duration executedRetention(const Settings& settings) {
    Duration retention = kMinExecutedRetention;
    for (const RequestClass& requestClass : settings.classes)
        retention = std::max(retention, kExecutedRetentionDeadlines * requestClass.deadline);
    return retention;
}

}  // namespace

RequestLifecycle::RequestLifecycle(const Settings& settings, RequestTable& requests, const Quota& quota,
                                   const Upstream& upstream)
    : settings_(settings),
      requests_(requests),
      executedRequests_(executedRetention(settings), settings.maxExecutedRequests),
      tenants_(quota.tenants),
      ledger_(quota.ledger),
      admission_(quota.admission),
      latency_(upstream.latency),
      retryPolicy_(upstream.retryPolicy),
      dispatcher_(upstream.dispatcher) {}

// ---- Admission ------------------------------------------------------------------------------------

void RequestLifecycle::onRequestArrived(EventContext& context, const RequestArrived& arrival) {
    if (executedRequests_.contains(arrival.request, context.now)) {
        context.emit(FailRequest{arrival.request});
        return;
    }
    Request& request = requests_.add(arrival, context.now);
    // A request without enough time is answered without a call to the counter: the reply would be too late.
    if (!hasTimeToBeServed(request, context.now)) {
        answerUnserved(context, request, Duration{});
    } else if (planOf(request) == nullptr) {
        forward(context, request);
    } else {
        startAdmission(context, request);
    }
}

void RequestLifecycle::startAdmission(EventContext& context, Request& request) {
    if (!tenants_.makeRoomFor(request.arrival.tenant, context.now)) {
        answerUnserved(context, request, Duration{});
        return;
    }
    switch (admission_.start(context, request)) {
        case QuotaAdmission::StartResult::rejected:
            answerUnserved(context, request, admission_.retryAfter(request, context.now));
            break;
        case QuotaAdmission::StartResult::readyToDecide:
            decide(context, request);
            break;
        case QuotaAdmission::StartResult::waitingForReply:
            waitForCounter(context, request);
            break;
    }
}

void RequestLifecycle::waitForCounter(EventContext& context, const Request& request) {
    const Duration untilDeadline = request.arrival.deadline - context.now;
    const Duration maxWait = std::min(settings_.counterTimeout, untilDeadline / 2);
    const Duration objective = latency_.latencyObjective(request.arrival.requestClass);
    const Duration wait = fromSeconds(toSeconds(objective) * kMaxCounterWaitShare);
    context.setTimer(CounterWaitExpired{request.key}, std::min(maxWait, wait));
}

void RequestLifecycle::onCounterReplied(EventContext& context, const CounterReplied& reply) {
    const CounterLedger::ReplyResult result = ledger_.onReply(context, reply);
    recordAwaitedReply(context, result.chargedRequest, result.ok);
    recordAwaitedReply(context, result.reader, result.ok);
    ledger_.scheduleFlushAfterReply(context, result);
}

void RequestLifecycle::recordAwaitedReply(EventContext& context, RequestKey key, bool ok) {
    Request* request = requests_.find(key);
    if (request == nullptr || request->decided) return;
    --request->charge.pendingReplies;
    if (request->charge.pendingReplies <= 0 || !ok) decide(context, *request);
}

void RequestLifecycle::onCounterWaitExpired(EventContext& context, const CounterWaitExpired& timer) {
    Request* request = requests_.find(timer.request);
    if (request != nullptr && !request->decided) decide(context, *request);
}

void RequestLifecycle::decide(EventContext& context, Request& request) {
    request.decided = true;
    const QuotaAdmission::Decision decision = admission_.decide(context, request, context.engineStartedAt);
    if (decision.admitted) {
        forward(context, request);
    } else {
        answerUnserved(context, request, decision.retryAfter);
    }
}

// ---- Attempts -------------------------------------------------------------------------------------

void RequestLifecycle::forward(EventContext& context, Request& request) {
    if (dispatcher_.trySend(context, request)) {
        Tenant* tenant = tenants_.find(request.arrival.tenant);
        if (tenant != nullptr) ++tenant->inFlight;
        return;
    }
    if (!request.countsAsSent) ledger_.refundUnsent(context, request);
    answerUnserved(context, request, expectedResponseTime(request));
}

void RequestLifecycle::onStreamStarted(const StreamStarted& started) {
    Request* request = requests_.find(started.request);
    if (request != nullptr) request->streaming = true;
}

void RequestLifecycle::onAttemptEnded(EventContext& context, const AttemptEnded& ended) {
    Request* request = requests_.find(ended.request);
    const auto position = static_cast<std::size_t>(ended.attempt);
    if (request == nullptr || ended.attempt < 0 || position >= request->attempts.size()) return;
    if (request->attempts[position].ended) return;

    Tenant* tenant = tenants_.find(request->arrival.tenant);
    if (tenant != nullptr) --tenant->inFlight;
    dispatcher_.recordEnd(*request, ended, context.now);
    recordWhetherExecuted(*request, context.now);
    recordWhetherSent(*request, ended.outcome);
    recordReportedUsage(context, *request, ended, tenant);
    if (ended.requestClosed) request->closed = true;

    if (!request->closed && retryPolicy_.tryAcquireRetry(*request, context.now)) {
        forward(context, *request);
        return;
    }
    if (!request->countsAsSent && !request->hasAttemptInFlight()) ledger_.refundUnsent(context, *request);
    if (request->closed) {
        requests_.eraseIfDone(*request);
    } else {
        answerUnserved(context, *request, expectedResponseTime(*request));
    }
}

void RequestLifecycle::recordWhetherExecuted(const Request& request, TimePoint now) {
    if (!request.possibleExecution || retryPolicy_.isClientRetrySafe(request, now)) return;
    executedRequests_.add(request.arrival.request, now);
}

// A quota charges a request if an attempt was sent. Under a plan with a ceiling, an attempt that failed to
// connect counts as sent as well.
void RequestLifecycle::recordWhetherSent(Request& request, Outcome outcome) const {
    const QuotaPlan* plan = planOf(request);
    const bool hasCeiling = plan != nullptr && plan->ceilingRate > 0;
    const bool isUnchargedConnectFailure = outcome == Outcome::connectFailed && !hasCeiling;
    if (outcome != Outcome::notSent && !isUnchargedConnectFailure) request.countsAsSent = true;
}

void RequestLifecycle::recordReportedUsage(EventContext& context, Request& request, const AttemptEnded& ended,
                                           Tenant* tenant) {
    if (tenant == nullptr) return;
    if (ended.quotaUsagePercent) tenant->usage.recordMeter(*ended.quotaUsagePercent);
    if (ended.actualCost)
        ledger_.reconcile(context, *tenant, request, *ended.actualCost - request.arrival.cost);
}

// ---- Final answers and disconnects ----------------------------------------------------------------

void RequestLifecycle::answerUnserved(EventContext& context, Request& request, Duration retryAfter) {
    if (retryPolicy_.isClientRetrySafe(request, context.now)) {
        const Duration cappedRetryAfter =
            settings_.retryAfterAllowed ? std::min(retryAfter, settings_.maxRetryAfter) : Duration{};
        context.emit(RejectRequest{request.arrival.request, cappedRetryAfter});
    } else {
        context.emit(FailRequest{request.arrival.request});
    }
    request.closed = true;
    request.decided = true;
    requests_.eraseIfDone(request);
}

void RequestLifecycle::onClientDisconnected(EventContext& context, const ClientDisconnected& disconnected) {
    Request* request = requests_.find(disconnected.request);
    if (request == nullptr) return;
    if (settings_.cancellationAllowed && !request->streaming) cancelAttempts(context, *request);
    if (!request->decided) refundUndecided(context, *request);
    request->closed = true;
    requests_.eraseIfDone(*request);
}

void RequestLifecycle::cancelAttempts(EventContext& context, const Request& request) const {
    for (std::size_t i = 0; i < request.attempts.size(); ++i) {
        if (request.attempts[i].ended) continue;
        context.emit(CancelAttempt{request.arrival.request, static_cast<int>(i)});
    }
}

void RequestLifecycle::refundUndecided(EventContext& context, Request& request) {
    request.decided = true;
    Tenant* tenant = tenants_.find(request.arrival.tenant);
    if (tenant == nullptr) return;
    ledger_.refundRejected(context, request, findSlice(*tenant, request.charge.sliceIndex));
}

// ---- Queries --------------------------------------------------------------------------------------

bool RequestLifecycle::hasTimeToBeServed(const Request& request, TimePoint now) const {
    const double expected = latency_.expectedSeconds(request.arrival.requestClass);
    return toSeconds(request.arrival.deadline - now) >= kMinRemainingTimeShare * expected;
}

Duration RequestLifecycle::expectedResponseTime(const Request& request) const {
    return fromSeconds(latency_.expectedSeconds(request.arrival.requestClass));
}

const QuotaPlan* RequestLifecycle::planOf(const Request& request) const {
    return settings_.plans.empty() ? nullptr : &settings_.plan(request.arrival.plan);
}

}  // namespace gateway
