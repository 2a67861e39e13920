#include "decision/upstream/upstream_engine_test.h"

#include <utility>

namespace gateway {

void UpstreamEngineTest::start(const Settings& settings, int endpointCount) {
    gateway_.emplace(settings, endpointCount);
}

void UpstreamEngineTest::changeEndpoints(std::vector<EndpointEntry> entries) {
    EndpointUpdate update;
    update.entries = std::move(entries);
    gateway_->handle(update);
}

void UpstreamEngineTest::replaceEndpoints(std::vector<EndpointEntry> entries) {
    EndpointUpdate update;
    update.kind = UpdateKind::snapshot;
    update.entries = std::move(entries);
    gateway_->handle(update);
}

EndpointEntry UpstreamEngineTest::entry(const std::string& name, Availability availability, CellId cell) {
    EndpointEntry entry;
    entry.id = EndpointId(name);
    entry.availability = availability;
    entry.cell = cell;
    return entry;
}

std::optional<SendAttempt> UpstreamEngineTest::sendRequest(std::uint64_t tenant) {
    const std::size_t before = attempts().size();
    gateway_->request(1, tenant);
    if (attempts().size() == before) return std::nullopt;
    return attempts().back();
}

void UpstreamEngineTest::sendRequests(int count, std::uint64_t firstTenant) {
    for (int i = 0; i < count; ++i) sendRequest(firstTenant + static_cast<std::uint64_t>(i));
}

std::vector<EndpointId> UpstreamEngineTest::serveRequest(
    std::uint64_t tenant, const std::function<AttemptReply(const EndpointId&)>& reply) {
    const std::size_t before = attempts().size();
    gateway_->request(1, tenant);
    std::vector<EndpointId> endpoints;
    while (attempts().size() > before + endpoints.size()) {
        const SendAttempt attempt = attempts().back();
        const int number = static_cast<int>(endpoints.size());
        endpoints.push_back(attempt.endpoint);
        endAttempt(attempt, number, reply(attempt.endpoint));
    }
    return endpoints;
}

void UpstreamEngineTest::endAttempt(const SendAttempt& attempt, int number, const AttemptReply& reply) {
    AttemptEnded ended;
    ended.request = attempt.request;
    ended.attempt = number;
    ended.endpoint = attempt.endpoint;
    ended.outcome = reply.outcome;
    ended.elapsed = reply.elapsed;
    ended.requestClosed = reply.outcome == Outcome::ok;
    gateway_->handle(ended);
}

void UpstreamEngineTest::advance(Duration time) {
    gateway_->advance(time);
}

TimePoint UpstreamEngineTest::now() const {
    return gateway_->now;
}

const std::vector<SendAttempt>& UpstreamEngineTest::attempts() const {
    return gateway_->sends;
}

const std::vector<RejectRequest>& UpstreamEngineTest::rejections() const {
    return gateway_->rejections;
}

std::size_t UpstreamEngineTest::failureCount() const {
    return gateway_->failures.size();
}

}  // namespace gateway
