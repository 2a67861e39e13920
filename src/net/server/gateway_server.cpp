#include "net/server/gateway_server.h"

#include <iostream>

namespace gateway::net {

namespace {

// Shares of the descriptors: the rest is for the counter, discovery, the listener and the loop itself.
constexpr std::size_t kClientDescriptorPercent = 50, kUpstreamDescriptorPercent = 40;
// For settlements and charges taken back to go out once nobody waits for an answer, and how often that is
// looked at.
constexpr Duration kMaxReconcileTime = std::chrono::seconds(1),
                   kReconcilePollInterval = std::chrono::milliseconds(20);

UpstreamPool::Limits poolLimits(const Config& c, ReclaimDescriptor reclaimDescriptor) {
    UpstreamPool::Limits limits;
    limits.connections = c.sockets * kUpstreamDescriptorPercent / 100;
    limits.connect = c.settings.connectTimeout;
    limits.keepAlive = c.keepAlive;
    limits.reuseDelay = c.reuseDelay;
    limits.drainGracePeriod = c.settings.drainGracePeriod;
    limits.reclaimDescriptor = std::move(reclaimDescriptor);
    return limits;
}

PollSchedule discoverySchedule(const Config& c) {
    if (c.settings.discovery == DiscoveryMode::push) return PollSchedule::push(c.seed);
    return PollSchedule::poll_(c.settings.gatewayIndex, c.settings.gatewayCount, c.settings.maxPollInterval,
                               c.seed);
}

ClientServer::Rules listenerRules(const Config& c) {
    ClientServer::Rules rules;
    rules.classes = c.settings.classes;
    rules.classNames = c.classes;
    rules.planNames = c.plans;
    rules.gatewayCount = c.settings.gatewayCount;
    rules.connections = c.sockets * kClientDescriptorPercent / 100;
    rules.listenAfterShutdown = c.listenAfterShutdown;
    rules.idleGracePeriod = c.idleGracePeriod;
    rules.maxPartialTime = c.maxPartialTime;
    rules.maxRequestCost = c.settings.maxRequestCost;
    return rules;
}

}  // namespace

GatewayServer::GatewayServer(boost::asio::io_context& io, const Config& config)
    : io_(io),
      config_(config),
      timers_(io),
      engine_(config.settings, config.seed),
      endpoints_(io, timers_, poolLimits(config, [this] { return reclaimDescriptor(); }),
                 {[this](UpstreamPool::Number n, AttemptResult&& r) { attemptEnded(n, std::move(r)); },
                  [this](UpstreamPool::Number n) {
                      const auto found = attempts_.find(n);
                      return found != attempts_.end() && hasClient(std::string(found->second.request));
                  }}),
      listener_(io, timers_, clock_, listenerRules(config),
                {[this] { return listKnown_ && listCurrent_; },
                 [this](ClientRequest&& r, const std::shared_ptr<ClientSession>& c) {
                     return onRequest(std::move(r), c);
                 },
                 [this](const std::string& id) { onDisconnect(id); }}),
      discovery_(
          io, timers_, clock_, config.discovery, config.names, config.known.index, discoverySchedule(config),
          [this] { return reclaimDescriptor(); },
          [this](const EndpointList& list) {
              listCurrent_ = true;
              onEndpointUpdate(list, list.full ? UpdateKind::snapshot : UpdateKind::delta);
          }) {
    if (config.counter) {
        CounterClient::Limits limits;
        limits.answer = config.settings.counterTimeout;
        limits.connect = config.settings.connectTimeout;
        limits.reclaimDescriptor = [this] { return reclaimDescriptor(); };
        counter_.emplace(io, timers_, *config.counter, limits,
                         [this](CounterReplied&& answer) { dispatch(std::move(answer)); });
    }
}

GatewayServer::~GatewayServer() = default;

void GatewayServer::start() {
    onEndpointUpdate(config_.known, UpdateKind::cached);
    if (!listKnown_) timers_.after(config_.emptyListWait, [this] { listKnown_ = true; });
    // Where it has to be asked, only what it was asked for counts.
    listCurrent_ =
        config_.settings.discovery != DiscoveryMode::push || config_.initialUpdateWait <= Duration::zero();
    if (!listCurrent_) timers_.after(config_.initialUpdateWait, [this] { listCurrent_ = true; });
    discovery_.start();
    listener_.listen(config_.listen);
}

// Clients that rest may hold every descriptor; what the process lives by comes before them.
bool GatewayServer::reclaimDescriptor() {
    return listener_.evictIdleClient() || endpoints_.reclaimDescriptor();
}

void GatewayServer::ensureDescriptor() {
    tcp::socket probe(io_);
    error_code ec;
    probe.open(tcp::v4(), ec);
    if (ec) reclaimDescriptor();
}

void GatewayServer::reload(const Config& config) {
    discovery_.move(config.discovery);
    if (counter_ && config.counter) counter_->move(*config.counter);
}

void GatewayServer::drain(std::function<void()> done) {
    listener_.drain([this, done = std::move(done)] {
        settle(std::chrono::steady_clock::now() + kMaxReconcileTime, done);
    });
}

// What the module still means to tell the counter waits on its timers.
void GatewayServer::settle(std::chrono::steady_clock::time_point until, std::function<void()> done) {
    const bool settled = !running_ && timersSet_ == 0 && (!counter_ || counter_->isIdle());
    if (!settled && std::chrono::steady_clock::now() < until) {
        timers_.after(kReconcilePollInterval, [this, until, done = std::move(done)] { settle(until, done); });
        return;
    }
    discovery_.stop();
    done();
}

// ---- Events ---------------------------------------------------------------------------------------

void GatewayServer::onEndpointUpdate(const EndpointList& list, UpdateKind scope) {
    endpoints_.update(list);
    if (!list.endpoints.empty() || scope == UpdateKind::snapshot) listKnown_ = true;
    EndpointUpdate told;
    told.kind = scope;
    for (const ResolvedEndpoint& t : list.endpoints) told.entries.push_back(t.entry);
    dispatch(std::move(told));
}

bool GatewayServer::onRequest(ClientRequest&& request, const std::shared_ptr<ClientSession>& client) {
    const auto [it, added] = requests_.try_emplace(request.told.request);
    if (!added) return false;
    it->second.forwarded = std::move(request.forwarded);
    it->second.client = client;
    dispatch(std::move(request.told));
    return true;
}

void GatewayServer::onDisconnect(const std::string& id) {
    const auto found = requests_.find(id);
    if (found == requests_.end() || !found->second.client) return;
    found->second.client = nullptr;
    const std::vector<UpstreamPool::Number> attempts = found->second.attempts;
    dispatch(ClientDisconnected{id});
    // What has not gone out yet never will, whatever may be called off: nobody waits for it.
    for (const UpstreamPool::Number attempt : attempts) endpoints_.cancelUnsent(attempt);
    // With no attempt out nothing else would end it: its id would stay in hand for ever.
    forgetIfDone(id);
}

void GatewayServer::attemptEnded(UpstreamPool::Number number, AttemptResult&& result) {
    const auto found = attempts_.find(number);
    if (found == attempts_.end()) return;
    const AttemptOf of = std::move(found->second);
    attempts_.erase(found);
    Request& r = requests_.at(of.request);
    --r.outstanding;
    AttemptEnded ended;
    ended.request = of.request;
    ended.attempt = of.number;
    ended.endpoint = of.endpoint;
    ended.outcome = result.outcome;
    ended.elapsed = result.elapsed;
    ended.report = result.report;
    ended.meteredPercent = result.meteredPercent;
    ended.trueCost = result.trueCost;
    // The first whole answer goes to the client by itself; later ones, and those for a client that has had
    // its answer or gone away, are dropped.
    const bool served = result.outcome == Outcome::ok && r.client;
    ended.closed = served || r.client == nullptr;
    if (served)
        finish(of.request, {200, {}, result.contentType, result.body});  // may end r
    else
        forgetIfDone(of.request);
    dispatch(std::move(ended));
}

// Asked where bytes of a request would go out. A client may have left long ago without that having been read:
// its end is found after its request, or after what else made this gateway busy.
bool GatewayServer::hasClient(const std::string& id) {
    const auto found = requests_.find(id);
    if (found == requests_.end()) return false;
    const auto client = found->second.client;
    return client && !listener_.hasDisconnected(*client);
}

// Actions can cause events at once; those wait here until the actions in hand are done.
void GatewayServer::run() {
    running_ = true;
    while (!events_.empty()) {
        actions_.clear();
        try {
            engine_.handle(clock_.now(), events_.front(), actions_);
        } catch (const std::exception& e) {  // costs one event, not the process and all it has taken
            std::cerr << "gateway: module: " << e.what() << '\n';
        }
        events_.pop_front();
        for (const Action& action : actions_) std::visit([this](const auto& a) { execute(a); }, action);
    }
    running_ = false;
    if (counter_) counter_->flush();
}

// ---- Actions --------------------------------------------------------------------------------------

void GatewayServer::execute(const SendAttempt& a) {
    const auto found = requests_.find(a.request);
    if (found == requests_.end()) return;
    Request& r = found->second;
    const UpstreamPool::Number number = nextAttempt_++;
    attempts_[number] = {a.request, a.endpoint, static_cast<int>(r.attempts.size())};
    r.attempts.push_back(number);
    ++r.outstanding;
    if (!hasClient(a.request)) {
        AttemptResult never;
        never.outcome = Outcome::notSent;
        return attemptEnded(number, std::move(never));
    }
    endpoints_.start(number, a.endpoint, a.timeout, a.beginWithin, r.forwarded);
}

void GatewayServer::execute(const CancelAttempt& a) {
    const auto found = requests_.find(a.request);
    if (found == requests_.end()) return;
    const auto at = static_cast<std::size_t>(a.attempt);
    if (at < found->second.attempts.size()) endpoints_.cancel(found->second.attempts[at]);
}

void GatewayServer::execute(const RejectRequest& a) {
    finish(a.request, {429, a.retryAfter, "text/plain", "refused\n"});
}
void GatewayServer::execute(const FailRequest& a) {
    finish(a.request, {502, {}, "text/plain", "failed\n"});
}

void GatewayServer::finish(const std::string& id, const ClientResponse& answer) {
    const auto found = requests_.find(id);
    if (found == requests_.end()) return;
    if (const auto client = std::exchange(found->second.client, nullptr)) listener_.answer(*client, answer);
    forgetIfDone(id);
}

void GatewayServer::forgetIfDone(const std::string& id) {
    const auto found = requests_.find(id);
    if (found != requests_.end() && !found->second.client && found->second.outstanding == 0)
        requests_.erase(found);
}

void GatewayServer::execute(const AddToCounter& a) {
    if (counter_) counter_->add(a);
}

void GatewayServer::execute(const SendHealthCheck& a) {
    HealthCheckCompleted ended;
    ended.endpoint = a.endpoint;
    ended.outcome = Outcome::notSent;
    events_.emplace_back(std::move(ended));
}

void GatewayServer::execute(const SetTimer& a) {
    ++timersSet_;
    timers_.after(a.after, [this, timer = a.timer] {
        --timersSet_;
        dispatch(TimerFired{timer});
    });
}

void GatewayServer::execute(const LogLine& a) {
    std::cerr << "gateway: " << a.text << '\n';
}

}  // namespace gateway::net
