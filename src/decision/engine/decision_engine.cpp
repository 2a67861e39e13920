#include "gateway/decision_engine.h"

#include <optional>
#include <utility>
#include <variant>

#include "decision/common/overloaded.h"
#include "decision/common/random_source.h"
#include "decision/engine/attempt_dispatcher.h"
#include "decision/engine/endpoint_watch.h"
#include "decision/engine/event_context.h"
#include "decision/engine/request_lifecycle.h"
#include "decision/engine/request_table.h"
#include "decision/engine/timer_table.h"
#include "decision/quota/ceiling_bucket.h"
#include "decision/quota/counter_ledger.h"
#include "decision/quota/counter_sampler.h"
#include "decision/quota/quota_admission.h"
#include "decision/quota/quota_window.h"
#include "decision/quota/tenant_table.h"
#include "decision/quota/usage_estimator.h"
#include "decision/upstream/concurrency_limiter.h"
#include "decision/upstream/endpoint_picker.h"
#include "decision/upstream/endpoint_set.h"
#include "decision/upstream/endpoint_stats.h"
#include "decision/upstream/latency_stats.h"
#include "decision/upstream/retry_policy.h"
#include "decision/upstream/slow_start.h"

namespace gateway {
namespace {

Settings validated(Settings settings) {
    if (auto problem = validate(settings)) throw SettingsError(std::move(*problem));
    return settings;
}

}  // namespace

// Owns the modules and routes each event to the one that handles it. The modules hold references to one
// another, so they are declared in the order of their dependencies, and an Impl can't be copied or moved.
class DecisionEngine::Impl {
public:
    Impl(Settings settings, std::uint64_t seed);
    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;
    ~Impl() = default;

    void handle(TimePoint now, const Event& event, Actions& actions);

private:
    void route(EventContext& context, const Event& event);
    void fireTimer(EventContext& context, TimerId id);

    Settings settings_;
    RandomSource random_;
    std::optional<TimePoint> startedAt_;
    TimerTable timers_;
    RequestTable requests_;

    UsageEstimator usage_;
    QuotaWindow window_;
    CeilingBucket ceiling_;
    CounterSampler sampler_;
    TenantTable tenants_;
    CounterLedger ledger_;
    QuotaAdmission admission_;

    LatencyStats latency_;
    EndpointStats endpointStats_;
    SlowStart slowStart_;
    ConcurrencyLimiter limiter_;
    EndpointSet endpoints_;
    EndpointPicker picker_;
    RetryPolicy retryPolicy_;

    AttemptDispatcher dispatcher_;
    EndpointWatch endpointWatch_;
    RequestLifecycle lifecycle_;
};

DecisionEngine::Impl::Impl(Settings settings, std::uint64_t seed)
    : settings_(validated(std::move(settings))),
      random_(seed),
      usage_(settings_),
      window_(settings_, usage_),
      ceiling_(settings_),
      sampler_(settings_.counterTimeout),
      tenants_(settings_.maxTenants),
      ledger_(settings_, usage_, window_, ceiling_, sampler_, tenants_, requests_),
      admission_(settings_, usage_, window_, ceiling_, sampler_, tenants_, ledger_),
      latency_(settings_),
      slowStart_(settings_, endpointStats_),
      limiter_(settings_),
      endpoints_(settings_, slowStart_, limiter_),
      picker_(settings_, endpoints_, endpointStats_, slowStart_),
      retryPolicy_(settings_, latency_),
      dispatcher_(latency_, endpointStats_, slowStart_, limiter_, endpoints_, picker_, retryPolicy_),
      endpointWatch_(settings_, endpoints_, limiter_),
      lifecycle_(settings_, requests_, {tenants_, ledger_, admission_},
                 {latency_, retryPolicy_, dispatcher_}) {}

void DecisionEngine::Impl::handle(TimePoint now, const Event& event, Actions& actions) {
    if (!startedAt_) {
        startedAt_ = now;
        endpointStats_.start(now);
    }
    EventContext context{now, *startedAt_, actions, random_, timers_};
    route(context, event);
}

void DecisionEngine::Impl::route(EventContext& context, const Event& event) {
    const Overloaded handler{
        [&](const EndpointUpdate& update) { endpointWatch_.onEndpointUpdate(context, update); },
        [&](const RequestArrived& arrival) { lifecycle_.onRequestArrived(context, arrival); },
        [&](const AttemptEnded& ended) { lifecycle_.onAttemptEnded(context, ended); },
        [&](const StreamStarted& started) { lifecycle_.onStreamStarted(started); },
        [&](const ClientDisconnected& gone) { lifecycle_.onClientDisconnected(context, gone); },
        [&](const CounterReplied& reply) { lifecycle_.onCounterReplied(context, reply); },
        [&](const TimerFired& fired) { fireTimer(context, fired.timer); },
    };
    std::visit(handler, event);
}

void DecisionEngine::Impl::fireTimer(EventContext& context, TimerId id) {
    const std::optional<Timer> timer = timers_.take(id);
    if (!timer) return;
    const Overloaded handler{
        [&](const CounterWaitExpired& due) { lifecycle_.onCounterWaitExpired(context, due); },
        [&](const FlushDue& due) { ledger_.flush(context, due.slice); },
        [&](const DiscoveryRetryDue&) { EndpointWatch::onRetryDue(context); },
    };
    std::visit(handler, *timer);
}

DecisionEngine::DecisionEngine(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
DecisionEngine::~DecisionEngine() = default;
DecisionEngine::DecisionEngine(DecisionEngine&&) noexcept = default;
DecisionEngine& DecisionEngine::operator=(DecisionEngine&&) noexcept = default;

void DecisionEngine::handle(TimePoint now, const Event& event, Actions& actions) {
    impl_->handle(now, event, actions);
}

}  // namespace gateway
