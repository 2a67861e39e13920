#include "decision/engine/decision_engine_impl.h"

#include <algorithm>
#include <stdexcept>
#include <utility>
#include <variant>

#include "decision/common/arithmetic.h"

namespace gateway {
namespace {

constexpr double kCounterWait = 0.1;    // share of the latency objective that a request waits for the counter
constexpr double kMinTimeShare = 0.3;   // share of a class's usual time without which a try is hopeless
constexpr int kDiscoveryRetryPart = 8;  // of the longest poll interval
constexpr Duration kMinDiscoveryRetry = std::chrono::milliseconds(200);

Settings validated(Settings settings) {
    if (auto problem = validate(settings)) throw SettingsError(std::move(*problem));
    return settings;
}

}  // namespace

DecisionEngine::Impl::Impl(Settings settings, std::uint64_t seed)
    : settings_(validated(std::move(settings))),
      random_(seed),
      usage_(settings_),
      window_(settings_, usage_),
      ceiling_(settings_),
      sampler_(settings_.counterTimeout),
      ledger_({settings_, usage_, window_, ceiling_, sampler_, tenants_, requests_}),
      admission_({settings_, usage_, window_, ceiling_, sampler_, tenants_, requests_}, ledger_),
      latency_(settings_),
      slowStart_(settings_, endpointStats_),
      limiter_(settings_),
      endpoints_(settings_, slowStart_, limiter_),
      picker_(settings_, endpoints_, endpointStats_, slowStart_),
      retries_(settings_, latency_) {}

void DecisionEngine::Impl::handle(TimePoint now, const Event& event, Actions& actions) {
    if (!startedAt_) {
        startedAt_ = now;
        endpointStats_.start(now);
    }
    EventContext context{now, actions, random_, timers_};
    std::visit([&](const auto& typed) { on(context, typed); }, event);
}

// ---- The endpoint set -----------------------------------------------------------------------------

void DecisionEngine::Impl::on(EventContext& context, const EndpointUpdate& update) {
    if (update.kind == UpdateKind::failed) {
        const Duration retryIn = settings_.maxPollInterval / kDiscoveryRetryPart;
        return context.setTimer(DiscoveryRetryDue{}, std::max(retryIn, kMinDiscoveryRetry));
    }
    if (settings_.discovery == DiscoveryMode::poll && !std::exchange(watchesEndpoints_, true))
        context.act(WatchEndpoints{});
    endpoints_.apply(update, context.now);
    limiter_.initializeLimit(endpoints_.listedCount());
}

// ---- The way of a request -------------------------------------------------------------------------

void DecisionEngine::Impl::on(EventContext& context, const RequestArrived& arrival) {
    Request& request = requests_.add(arrival, context.now);
    // A client about to leave can't be served; asking the counter for it would only outlast it.
    const double expected = latency_.expectedSeconds(arrival.requestClass);
    if (toSeconds(arrival.deadline - context.now) < kMinTimeShare * expected)
        return answerUnserved(context, request, Duration{});
    if (planOf(request) == nullptr) return sendAttempt(context, request);
    switch (admission_.start(context, request)) {
        case QuotaAdmission::Start::rejected:
            return answerUnserved(context, request, admission_.retryAfter(context, request));
        case QuotaAdmission::Start::decideNow:
            return decide(context, request);
        case QuotaAdmission::Start::waiting:
            return waitForCounter(context, request);
    }
}

void DecisionEngine::Impl::waitForCounter(EventContext& context, const Request& request) {
    const Duration untilDeadline = request.arrival.deadline - context.now;
    const Duration most = std::min(settings_.counterTimeout, untilDeadline / 2);
    const Duration objective = latency_.latencyObjective(request.arrival.requestClass);
    const Duration wait = fromSeconds(toSeconds(objective) * kCounterWait);
    context.setTimer(CounterWaitOver{request.key}, std::min(most, wait));
}

void DecisionEngine::Impl::on(EventContext& context, const CounterReplied& reply) {
    const CounterLedger::ReplyResult result = ledger_.onReply(context, reply);
    onAwaitedReply(context, result.charged, result.ok);
    for (const RequestKey reader : result.readers) onAwaitedReply(context, reader, result.ok);
    ledger_.afterReply(context, result);
}

void DecisionEngine::Impl::onAwaitedReply(EventContext& context, RequestKey key, bool ok) {
    Request* request = requests_.find(key);
    if (request == nullptr || request->decided) return;
    --request->charge.pendingReplies;
    if (request->charge.pendingReplies <= 0 || !ok) decide(context, *request);
}

void DecisionEngine::Impl::decide(EventContext& context, Request& request) {
    request.decided = true;
    const QuotaAdmission::Decision decision = admission_.decide(context, request, *startedAt_);
    if (!decision.admitted) return answerUnserved(context, request, decision.retryAfter);
    sendAttempt(context, request);
}

void DecisionEngine::Impl::sendAttempt(EventContext& context, Request& request) {
    const Duration left = latency_.timeLeft(request, context.now);
    const double work = latency_.relativeWork(request.arrival.requestClass);
    std::optional<std::size_t> slot;
    if (left > Duration{} && limiter_.hasCapacity(random_))
        slot = picker_.pick(request, work, context.now, random_);
    if (!slot) {
        if (!request.reachedEndpoint) ledger_.refundUnsent(context, request);
        return answerUnserved(context, request, expectedTime(request));
    }
    Endpoint& endpoint = endpoints_.at(*slot);
    if (request.attempts.empty()) retries_.recordFirstAttempt();
    request.attempts.push_back({*slot, context.now, false});
    limiter_.beginAttempt();
    endpoint.beginAttempt(work);
    if (Tenant* tenant = tenants_.find(request.arrival.tenant)) ++tenant->inFlight;
    const Duration beginWithin = retries_.beginWithin(request, context.now);
    context.act(SendAttempt{request.arrival.request, endpoint.entry().endpoint, left, beginWithin});
}

void DecisionEngine::Impl::on(EventContext&, const StreamStarted& started) {
    if (Request* request = requests_.find(started.request)) request->streaming = true;
}

void DecisionEngine::Impl::on(EventContext& context, const AttemptEnded& ended) {
    Request* request = requests_.find(ended.request);
    const auto index = static_cast<std::size_t>(ended.attempt);
    if (request == nullptr || ended.attempt < 0 || index >= request->attempts.size()) return;
    Attempt& attempt = request->attempts[index];
    if (std::exchange(attempt.ended, true)) return;
    Endpoint& endpoint = endpoints_.at(attempt.endpointSlot);
    limiter_.endAttempt();
    endpoint.endAttempt();
    Tenant* tenant = tenants_.find(request->arrival.tenant);
    if (tenant != nullptr) --tenant->inFlight;
    observeAttempt(*request, ended, endpoint, context.now);
    noteRun(*request, ended, attempt, endpoint);
    settleCost(context, *request, ended, tenant);
    if (ended.closed) request->closed = true;
    if (!request->closed && retries_.tryAcquireRetry(*request, context.now))
        return sendAttempt(context, *request);
    if (!request->reachedEndpoint && !request->hasAttemptInFlight()) ledger_.refundUnsent(context, *request);
    if (request->closed) return requests_.eraseIfDone(*request);
    answerUnserved(context, *request, expectedTime(*request));
}

void DecisionEngine::Impl::observeAttempt(const Request& request, const AttemptEnded& ended,
                                          Endpoint& endpoint, TimePoint now) {
    const AttemptSample sample = latency_.observe(request, ended);
    endpoint.observeAttempt(ended, sample, now);
    endpointStats_.observe(endpoint.load(), endpoints_.listedCount(), now);
    limiter_.observe(sample, ended.outcome);
    slowStart_.observe(endpoint, sample, now);
    if (ended.outcome == Outcome::ok)
        slowStart_.recordServed(endpoint, latency_.relativeWork(request.arrival.requestClass), now);
}

void DecisionEngine::Impl::noteRun(Request& request, const AttemptEnded& ended, const Attempt& attempt,
                                   const Endpoint& endpoint) {
    if (!provesNeverRan(ended.outcome) && !request.possibleRun)
        request.possibleRun = PossibleRun{endpoint.entry().zone, endpoint.entry().cell, attempt.sentAt};
    // A ceiling takes cost at the first attempt, a quota where it reaches an endpoint.
    const QuotaPlan* plan = planOf(request);
    const bool hasCeiling = plan != nullptr && plan->ceilingRate > 0;
    const bool neverConnected = ended.outcome == Outcome::connectFailed && !hasCeiling;
    if (ended.outcome != Outcome::notSent && !neverConnected) request.reachedEndpoint = true;
}

void DecisionEngine::Impl::settleCost(EventContext& context, Request& request, const AttemptEnded& ended,
                                      Tenant* tenant) {
    if (tenant == nullptr) return;
    if (ended.meteredPercent) usage_.noteMeter(*tenant, *ended.meteredPercent);
    if (ended.trueCost) ledger_.reconcile(context, *tenant, request, *ended.trueCost - request.arrival.cost);
}

// ---- Final answers --------------------------------------------------------------------------------

void DecisionEngine::Impl::answerUnserved(EventContext& context, Request& request, Duration retryAfter) {
    if (retries_.isClientRetrySafe(request, context.now)) {
        const Duration advice =
            settings_.retryAfterAllowed ? std::min(retryAfter, settings_.maxRetryAfter) : Duration{};
        context.act(RejectRequest{request.arrival.request, advice});
    } else {
        context.act(FailRequest{request.arrival.request});
    }
    request.closed = true;
    request.decided = true;
    requests_.eraseIfDone(request);
}

void DecisionEngine::Impl::on(EventContext& context, const ClientDisconnected& disconnected) {
    Request* request = requests_.find(disconnected.request);
    if (request == nullptr) return;
    const bool cancels = settings_.cancellationAllowed && !request->streaming;
    for (std::size_t i = 0; i < request->attempts.size(); ++i)
        if (cancels && !request->attempts[i].ended)
            context.act(CancelAttempt{disconnected.request, static_cast<int>(i)});
    if (!std::exchange(request->decided, true)) {
        Tenant* tenant = tenants_.find(request->arrival.tenant);
        if (tenant != nullptr)
            ledger_.refundRejected(context, *request, findSlice(*tenant, request->charge.sliceIndex));
    }
    request->closed = true;
    requests_.eraseIfDone(*request);
}

// ---- Timers ---------------------------------------------------------------------------------------

void DecisionEngine::Impl::on(EventContext& context, const TimerFired& fired) {
    const std::optional<Timer> timer = timers_.take(fired.timer);
    if (timer) std::visit([&](const auto& typed) { onTimer(context, typed); }, *timer);
}

void DecisionEngine::Impl::onTimer(EventContext& context, const CounterWaitOver& timer) {
    Request* request = requests_.find(timer.request);
    if (request != nullptr && !request->decided) decide(context, *request);
}

void DecisionEngine::Impl::onTimer(EventContext& context, const FlushDue& timer) {
    ledger_.flush(context, timer.tenant, timer.sliceIndex);
}

void DecisionEngine::Impl::onTimer(EventContext& context, const DiscoveryRetryDue&) {
    context.act(WatchEndpoints{});
}

// ---- Lookups --------------------------------------------------------------------------------------

Duration DecisionEngine::Impl::expectedTime(const Request& request) const {
    return fromSeconds(latency_.expectedSeconds(request.arrival.requestClass));
}

const QuotaPlan* DecisionEngine::Impl::planOf(const Request& request) const {
    if (settings_.plans.empty()) return nullptr;
    return &settings_.plans[toPosition(request.arrival.plan)];
}

}  // namespace gateway
