#include "net/server/gateway_server.h"

#include <exception>
#include <utility>

#include "net/transport/log.h"

namespace gateway::net {

using std::chrono::steady_clock;

namespace {

// Shares of the descriptors: the rest is for the counter, discovery, the listener and the loop itself.
constexpr std::size_t kClientDescriptorPercent = 50;
constexpr std::size_t kUpstreamDescriptorPercent = 40;
// For reconciliations and refunds to go out once nobody waits for an answer, and how often that is looked at.
constexpr Duration kMaxReconcileTime = std::chrono::seconds(1);
constexpr Duration kReconcilePollInterval = std::chrono::milliseconds(20);

using boost::beast::http::status;

UpstreamPool::Limits upstreamLimits(const Config& config, ReclaimDescriptor reclaimDescriptor) {
    UpstreamPool::Limits limits;
    limits.connections = config.sockets * kUpstreamDescriptorPercent / 100;
    limits.connectTimeout = config.settings.connectTimeout;
    limits.keepAlive = config.keepAlive;
    limits.reuseDelay = config.timing.reuseDelay;
    limits.drainGracePeriod = config.settings.drainGracePeriod;
    limits.reclaimDescriptor = std::move(reclaimDescriptor);
    return limits;
}

PollSchedule discoverySchedule(const Config& config) {
    const Settings& settings = config.settings;
    if (settings.discovery == DiscoveryMode::push) return PollSchedule::push(config.seed);
    return PollSchedule::poll(settings.gatewayIndex, settings.gatewayCount, settings.maxPollInterval,
                              config.seed);
}

RequestRules requestRules(const Config& config) {
    RequestRules rules;
    rules.classes = config.settings.classes;
    rules.classNames = config.classNames;
    rules.planNames = config.planNames;
    rules.gatewayCount = config.settings.gatewayCount;
    rules.maxRequestCost = config.settings.maxRequestCost;
    return rules;
}

ClientServer::Limits clientLimits(const Config& config) {
    ClientServer::Limits limits;
    limits.connections = config.sockets * kClientDescriptorPercent / 100;
    limits.listenAfterShutdown = config.timing.listenAfterShutdown;
    limits.idleGracePeriod = config.timing.idleGracePeriod;
    limits.maxPartialTime = config.timing.maxPartialTime;
    return limits;
}

}  // namespace

GatewayServer::GatewayServer(boost::asio::io_context& io, const Config& config)
    : io_(io),
      config_(config),
      timers_(io),
      engine_(config.settings, config.seed),
      upstreams_(io, timers_, upstreamLimits(config, [this] { return reclaimDescriptor(); }),
                 upstreamHooks()),
      clients_(io, timers_, clock_, requestRules(config), clientLimits(config), clientHooks()),
      discovery_(io, timers_, clock_, discoveryOptions(), [this](const EndpointList& list) {
          isListCurrent_ = true;
          onEndpointList(list, list.isSnapshot ? UpdateKind::snapshot : UpdateKind::delta);
      }) {
    if (!config.counter) return;
    counter_.emplace(io, timers_, *config.counter, counterLimits(),
                     [this](CounterReplied&& reply) { dispatch(std::move(reply)); });
}

UpstreamPool::Hooks GatewayServer::upstreamHooks() {
    return {[this](AttemptId id, AttemptResult&& result) { onAttemptEnded(id, std::move(result)); },
            [this](AttemptId id) { return isAttemptWanted(id); }};
}

ClientServer::Hooks GatewayServer::clientHooks() {
    return {[this] { return hasList_ && isListCurrent_; },
            [this](ClientRequest&& request, const std::shared_ptr<ClientSession>& client) {
                return onRequest(std::move(request), client);
            },
            [this](const RequestId& id) { onDisconnect(id); }};
}

DiscoveryClient::Options GatewayServer::discoveryOptions() {
    return {config_.discovery, config_.vocabulary, config_.known.version, discoverySchedule(config_),
            [this] { return reclaimDescriptor(); }};
}

CounterClient::Limits GatewayServer::counterLimits() {
    CounterClient::Limits limits;
    limits.callTimeout = config_.settings.counterTimeout;
    limits.connectTimeout = config_.settings.connectTimeout;
    limits.reclaimDescriptor = [this] { return reclaimDescriptor(); };
    return limits;
}

// ---- Start, reload, shutdown ----------------------------------------------------------------------

void GatewayServer::start() {
    const Timing& timing = config_.timing;
    onEndpointList(config_.known, UpdateKind::cached);
    if (!hasList_) timers_.after(timing.emptyListWait, [this] { hasList_ = true; });
    // Where it has to be polled, only what it was asked for counts.
    isListCurrent_ =
        config_.settings.discovery != DiscoveryMode::push || timing.initialUpdateWait <= Duration::zero();
    if (!isListCurrent_) timers_.after(timing.initialUpdateWait, [this] { isListCurrent_ = true; });
    discovery_.start();
    clients_.listen(config_.listen);
}

void GatewayServer::reload(const Config& config) {
    discovery_.moveTo(config.discovery);
    if (counter_ && config.counter) counter_->moveTo(*config.counter);
}

void GatewayServer::drain(std::function<void()> done) {
    clients_.drain([this, done = std::move(done)] {
        stopWhenReconciled(steady_clock::now() + kMaxReconcileTime, done);
    });
}

// What the engine still means to tell the counter waits on its timers.
void GatewayServer::stopWhenReconciled(Moment deadline, std::function<void()> done) {
    const bool reconciled = !handling_ && timersInFlight_ == 0 && (!counter_ || counter_->isIdle());
    if (!reconciled && steady_clock::now() < deadline) {
        timers_.after(kReconcilePollInterval,
                      [this, deadline, done = std::move(done)] { stopWhenReconciled(deadline, done); });
        return;
    }
    discovery_.stop();
    done();
}

// ---- Descriptors ----------------------------------------------------------------------------------

// Idle clients may hold every descriptor; what the process lives by comes before them.
bool GatewayServer::reclaimDescriptor() {
    return clients_.evictIdleClient() || upstreams_.evictIdleConnection();
}

void GatewayServer::ensureDescriptor() {
    tcp::socket probe(io_);
    error_code ec;
    probe.open(tcp::v4(), ec);
    if (ec) reclaimDescriptor();
}

// ---- Events ---------------------------------------------------------------------------------------

void GatewayServer::onEndpointList(const EndpointList& list, UpdateKind kind) {
    upstreams_.update(list);
    if (!list.endpoints.empty() || kind == UpdateKind::snapshot) hasList_ = true;
    EndpointUpdate update;
    update.kind = kind;
    for (const ResolvedEndpoint& endpoint : list.endpoints) update.entries.push_back(endpoint.entry);
    dispatch(std::move(update));
}

bool GatewayServer::onRequest(ClientRequest&& request, const std::shared_ptr<ClientSession>& client) {
    const auto [found, added] = requests_.try_emplace(request.arrival.request);
    if (!added) return false;
    found->second.forwarded = std::move(request.forwarded);
    found->second.client = client;
    dispatch(std::move(request.arrival));
    return true;
}

void GatewayServer::onDisconnect(const RequestId& id) {
    const auto found = requests_.find(id);
    if (found == requests_.end() || !found->second.client) return;
    found->second.client = nullptr;
    const std::vector<AttemptId> attempts = found->second.attempts;
    dispatch(ClientDisconnected{id});
    // What has not gone out yet never will, whatever may be cancelled: nobody waits for it.
    for (const AttemptId attempt : attempts) upstreams_.cancelUnsent(attempt);
    // With no attempt in flight nothing else would end it: its id would stay in use for ever.
    forgetIfDone(id);
}

void GatewayServer::onAttemptEnded(AttemptId id, AttemptResult&& result) {
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) return;
    const Attempt attempt = std::move(found->second);
    attempts_.erase(found);
    Request& request = requests_.at(attempt.request);
    --request.inFlight;
    // The first whole response goes to the client by itself; later ones, and those for a client that has had
    // its answer or has disconnected, are dropped.
    const bool served = result.outcome == Outcome::ok && request.client;
    AttemptEnded ended;
    ended.request = attempt.request;
    ended.attempt = attempt.number;
    ended.endpoint = attempt.endpoint;
    ended.outcome = result.outcome;
    ended.elapsed = result.elapsed;
    ended.report = result.report;
    ended.meteredPercent = result.meteredPercent;
    ended.trueCost = result.trueCost;
    ended.closed = served || request.client == nullptr;
    if (served)
        answer(attempt.request, {status::ok, {}, result.contentType, result.body});  // may end `request`
    else
        forgetIfDone(attempt.request);
    dispatch(std::move(ended));
}

bool GatewayServer::isAttemptWanted(AttemptId id) {
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) return false;
    const RequestId request = found->second.request;  // looking may end the attempt
    return hasClient(request);
}

// Asked where bytes of a request would go out. A client may have left long ago without that having been read:
// its end is found after its request, or after what else made this gateway busy.
bool GatewayServer::hasClient(const RequestId& id) {
    const auto found = requests_.find(id);
    if (found == requests_.end()) return false;
    const auto client = found->second.client;
    return client && !ClientServer::endIfDisconnected(*client);
}

// Actions can cause events at once; those wait here until the actions in hand are done.
void GatewayServer::dispatch(Event event) {
    events_.push_back(std::move(event));
    if (!handling_) handleQueuedEvents();
}

void GatewayServer::handleQueuedEvents() {
    handling_ = true;
    while (!events_.empty()) {
        actions_.clear();
        try {
            engine_.handle(clock_.now(), events_.front(), actions_);
        } catch (const std::exception& e) {  // costs one event, not the process and all it has taken
            log(LogLevel::error, "decision engine", e.what());
        }
        events_.pop_front();
        for (const Action& action : actions_)
            std::visit([this](const auto& typed) { execute(typed); }, action);
    }
    handling_ = false;
    if (counter_) counter_->flush();
}

// ---- Actions --------------------------------------------------------------------------------------

void GatewayServer::execute(const SendAttempt& action) {
    const auto found = requests_.find(action.request);
    if (found == requests_.end()) return;
    Request& request = found->second;
    const AttemptId id{++lastAttempt_};
    attempts_[id] = {action.request, action.endpoint, static_cast<int>(request.attempts.size())};
    request.attempts.push_back(id);
    ++request.inFlight;
    if (!hasClient(action.request)) return onAttemptEnded(id, notSentResult());
    upstreams_.start(id, action.endpoint, action.timeout, action.beginWithin, request.forwarded);
}

void GatewayServer::execute(const CancelAttempt& action) {
    const auto found = requests_.find(action.request);
    if (found == requests_.end()) return;
    const auto index = static_cast<std::size_t>(action.attempt);
    if (index < found->second.attempts.size()) upstreams_.cancel(found->second.attempts[index]);
}

void GatewayServer::execute(const RejectRequest& action) {
    answer(action.request, {status::too_many_requests, action.retryAfter, "text/plain", "refused\n"});
}

void GatewayServer::execute(const FailRequest& action) {
    answer(action.request, {status::bad_gateway, {}, "text/plain", "failed\n"});
}

void GatewayServer::execute(const AddToCounter& action) {
    if (counter_) counter_->add(action);
}

void GatewayServer::execute(const SetTimer& action) {
    ++timersInFlight_;
    timers_.after(action.after, [this, timer = action.timer] {
        --timersInFlight_;
        dispatch(TimerFired{timer});
    });
}

// ---- Requests -------------------------------------------------------------------------------------

void GatewayServer::answer(const RequestId& id, const ClientResponse& response) {
    const auto found = requests_.find(id);
    if (found == requests_.end()) return;
    if (const auto client = std::exchange(found->second.client, nullptr)) clients_.answer(*client, response);
    forgetIfDone(id);
}

void GatewayServer::forgetIfDone(const RequestId& id) {
    const auto found = requests_.find(id);
    if (found != requests_.end() && !found->second.client && found->second.inFlight == 0)
        requests_.erase(found);
}

}  // namespace gateway::net
