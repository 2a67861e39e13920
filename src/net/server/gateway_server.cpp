#include "net/server/gateway_server.h"

#include <boost/beast/http/status.hpp>
#include <utility>
#include <variant>
#include <vector>

#include "net/server/component_options.h"

namespace gateway::net {

namespace http = boost::beast::http;

namespace {

AttemptEnded toEvent(const RequestRegistry::EndedAttempt& attempt, const AttemptResult& result,
                     bool isRequestClosed) {
    AttemptEnded event;
    event.request = attempt.request;
    event.attempt = attempt.number;
    event.endpoint = attempt.endpoint;
    event.outcome = result.outcome;
    event.elapsed = result.elapsed;
    event.loadReport = result.loadReport;
    event.quotaUsagePercent = result.quotaUsagePercent;
    event.actualCost = result.actualCost;
    event.requestClosed = isRequestClosed;
    return event;
}

ClientResponse textResponse(http::status status, Duration retryAfter, std::string_view body) {
    return {status, retryAfter, "text/plain", body};
}

}  // namespace

GatewayServer::GatewayServer(boost::asio::io_context& ioContext, const Config& config)
    : ioContext_(ioContext),
      config_(config),
      timers_(ioContext),
      engine_(config.settings, config.seed),
      dispatcher_(dispatcherHandlers()),
      readiness_(timers_, readinessLimits(config)),
      upstreamClient_(ioContext, timers_,
                      upstreamClientLimits(config, [this] { return reclaimDescriptor(); }), upstreamHooks()),
      clientServer_(ioContext, timers_, clock_, requestRules(config), clientServerLimits(config),
                    clientHooks()),
      discovery_(ioContext, timers_, clock_,
                 discoveryClientOptions(config, [this] { return reclaimDescriptor(); }),
                 [this](const EndpointList& list) {
                     handleEndpointList(list, list.isSnapshot ? UpdateKind::snapshot : UpdateKind::delta);
                 }),
      shutdown_(timers_, shutdownHooks()) {
    if (!config.counter) return;
    counter_.emplace(ioContext, timers_, *config.counter,
                     counterClientLimits(config, [this] { return reclaimDescriptor(); }),
                     [this](CounterReplied&& reply) { dispatcher_.dispatch(std::move(reply)); });
}

// ---- Hooks ----------------------------------------------------------------------------------------

EventDispatcher::Handlers GatewayServer::dispatcherHandlers() {
    EventDispatcher::Handlers handlers;
    handlers.handleEvent = [this](const Event& event, Actions& actions) {
        engine_.handle(clock_.now(), event, actions);
    };
    handlers.executeAction = [this](const Action& action) {
        std::visit([this](const auto& typed) { execute(typed); }, action);
    };
    handlers.onQueueEmpty = [this] {
        if (counter_) counter_->flush();
    };
    return handlers;
}

UpstreamClient::Hooks GatewayServer::upstreamHooks() {
    return {
        [this](AttemptId id, AttemptResult&& result) { handleAttemptEnded(id, std::move(result)); },
        [this](AttemptId id) {
            if (const auto request = requests_.requestOf(id)) disconnectIfClosed(requests_.client(*request));
        },
        [this](AttemptId id) {
            const auto request = requests_.requestOf(id);
            return request && hasWaitingClient(*request);
        },
    };
}

ClientServer::Hooks GatewayServer::clientHooks() {
    return {
        [this] { return readiness_.isReady(); },
        [this](ClientRequest&& request, const std::shared_ptr<ClientSession>& client) {
            return handleRequest(std::move(request), client);
        },
        [this](const RequestId& id) { handleDisconnect(id); },
    };
}

GracefulShutdown::Hooks GatewayServer::shutdownHooks() {
    return {
        [this](std::function<void()> onDrained) { clientServer_.drain(std::move(onDrained)); },
        [this] { return hasNoPendingUsage(); },
        [this] { discovery_.stop(); },
    };
}

// ---- Start, reload, shutdown ----------------------------------------------------------------------

void GatewayServer::start() {
    handleEndpointList(config_.cachedEndpoints, UpdateKind::cached);
    readiness_.start(config_.settings.discovery == DiscoveryMode::push);
    discovery_.start();
    clientServer_.listen(config_.listen);
}

void GatewayServer::reload(const Config& config) {
    discovery_.changeAddress(config.discovery);
    if (counter_ && config.counter) counter_->changeAddress(*config.counter);
}

void GatewayServer::shutDown(std::function<void()> onComplete) {
    shutdown_.start(std::move(onComplete));
}

// Returns whether no event is being handled, no timer of the engine is pending and no call to the counter
// service is in flight. Usage that the engine has collected is sent when one of its timers fires.
bool GatewayServer::hasNoPendingUsage() const {
    return !dispatcher_.isDispatching() && pendingEngineTimers_ == 0 && (!counter_ || counter_->isIdle());
}

// ---- Descriptors ----------------------------------------------------------------------------------

// A new connection has priority over an idle one. Idle connections may hold all descriptors that the process
// can open.
bool GatewayServer::reclaimDescriptor() {
    return clientServer_.evictIdleClient() || upstreamClient_.evictIdleConnection();
}

void GatewayServer::tryToFreeDescriptor() {
    tcp::socket probe(ioContext_);
    error_code ec;
    probe.open(tcp::v4(), ec);
    if (ec) reclaimDescriptor();
}

// ---- Network events -------------------------------------------------------------------------------

void GatewayServer::handleEndpointList(EndpointList list, UpdateKind kind) {
    addressOwners_.removeReplaced(list);
    readiness_.recordEndpointList(kind, list.endpoints.empty());
    upstreamClient_.update(list);
    EndpointUpdate update;
    update.kind = kind;
    for (const ResolvedEndpoint& endpoint : list.endpoints) update.entries.push_back(endpoint.entry);
    dispatcher_.dispatch(std::move(update));
}

bool GatewayServer::handleRequest(ClientRequest&& request, const std::shared_ptr<ClientSession>& client) {
    if (!requests_.add(request.arrival.request, std::move(request.forwarded), client)) return false;
    dispatcher_.dispatch(std::move(request.arrival));
    return true;
}

void GatewayServer::handleDisconnect(const RequestId& id) {
    if (!requests_.releaseClient(id)) return;
    const std::vector<AttemptId> attempts = requests_.attempts(id);
    dispatcher_.dispatch(ClientDisconnected{id});
    // No client waits for the result of an attempt that has not been sent yet, so it is cancelled even if the
    // settings forbid cancellation.
    for (const AttemptId attempt : attempts) upstreamClient_.cancelUnsent(attempt);
    // Frees the request's id. If an attempt is in flight, its end frees the id instead.
    requests_.removeIfComplete(id);
}

void GatewayServer::handleAttemptEnded(AttemptId id, AttemptResult&& result) {
    const std::optional<RequestRegistry::EndedAttempt> attempt = requests_.recordAttemptEnded(id);
    if (!attempt) return;
    // The first response with status 200 is forwarded to the client at once. Responses that arrive after the
    // client was answered or has disconnected are dropped.
    const bool isServed = result.outcome == Outcome::ok && attempt->isClientWaiting;
    if (isServed)
        answer(attempt->request, {http::status::ok, Duration::zero(), result.contentType, result.body});
    else
        requests_.removeIfComplete(attempt->request);
    dispatcher_.dispatch(toEvent(*attempt, result, isServed || !attempt->isClientWaiting));
}

// ---- Actions --------------------------------------------------------------------------------------

void GatewayServer::execute(const SendAttempt& action) {
    const auto attempt = requests_.addAttempt(action.request, action.endpoint);
    if (!attempt) return;
    disconnectIfClosed(attempt->client);
    if (!hasWaitingClient(action.request)) {
        handleAttemptEnded(attempt->id, notSentResult());
        return;
    }
    upstreamClient_.start(attempt->id, action.endpoint, {action.timeout, action.maxSendDelay},
                          attempt->forwarded);
}

void GatewayServer::execute(const CancelAttempt& action) {
    const AttemptId id = requests_.attempt(action.request, action.attempt);
    if (id != AttemptId::none) upstreamClient_.cancel(id);
}

void GatewayServer::execute(const RejectRequest& action) {
    answer(action.request, textResponse(http::status::too_many_requests, action.retryAfter, "refused\n"));
}

void GatewayServer::execute(const FailRequest& action) {
    answer(action.request, textResponse(http::status::bad_gateway, Duration::zero(), "failed\n"));
}

void GatewayServer::execute(const AddToCounter& action) {
    if (counter_) counter_->add(action);
}

void GatewayServer::execute(const SetTimer& action) {
    ++pendingEngineTimers_;
    timers_.schedule(action.delay, [this, timer = action.timer] {
        --pendingEngineTimers_;
        dispatcher_.dispatch(TimerFired{timer});
    });
}

// ---- Clients --------------------------------------------------------------------------------------

// Ends the session of a client that has closed its connection. Called before a request is sent to an
// endpoint, because the event loop may not have read the close yet.
void GatewayServer::disconnectIfClosed(const std::shared_ptr<ClientSession>& client) {
    if (client) ClientServer::endIfDisconnected(*client);
}

void GatewayServer::answer(const RequestId& id, const ClientResponse& response) {
    if (const auto client = requests_.releaseClient(id)) clientServer_.answer(*client, response);
    requests_.removeIfComplete(id);
}

}  // namespace gateway::net
