#include "net/server/request_registry.h"

#include <utility>

namespace gateway::net {

bool RequestRegistry::add(const RequestId& id, std::shared_ptr<const ForwardedRequest> forwarded,
                          std::shared_ptr<ClientSession> client) {
    const auto [entry, isNew] = requests_.try_emplace(id);
    if (!isNew) return false;
    entry->second.forwarded = std::move(forwarded);
    entry->second.client = std::move(client);
    return true;
}

std::shared_ptr<ClientSession> RequestRegistry::client(const RequestId& id) const {
    const auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : found->second.client;
}

std::shared_ptr<ClientSession> RequestRegistry::releaseClient(const RequestId& id) {
    const auto found = requests_.find(id);
    if (found == requests_.end()) return nullptr;
    return std::exchange(found->second.client, nullptr);
}

std::optional<RequestRegistry::AddedAttempt> RequestRegistry::addAttempt(const RequestId& id,
                                                                         const EndpointId& endpoint) {
    const auto found = requests_.find(id);
    if (found == requests_.end()) return std::nullopt;
    Request& request = found->second;
    ++lastAttemptId_;
    const AttemptId attempt{lastAttemptId_};
    attempts_[attempt] = {id, endpoint, static_cast<int>(request.attempts.size())};
    request.attempts.push_back(attempt);
    ++request.attemptsInFlight;
    return AddedAttempt{attempt, request.forwarded, request.client};
}

std::optional<RequestRegistry::EndedAttempt> RequestRegistry::recordAttemptEnded(AttemptId id) {
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) return std::nullopt;
    Attempt attempt = std::move(found->second);
    attempts_.erase(found);
    Request& request = requests_.at(attempt.request);
    --request.attemptsInFlight;
    return EndedAttempt{std::move(attempt.request), std::move(attempt.endpoint), attempt.number,
                        request.client != nullptr};
}

std::optional<RequestId> RequestRegistry::requestOf(AttemptId id) const {
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) return std::nullopt;
    return found->second.request;
}

AttemptId RequestRegistry::attempt(const RequestId& id, int number) const {
    const auto found = requests_.find(id);
    const auto position = static_cast<std::size_t>(number);
    if (found == requests_.end() || position >= found->second.attempts.size()) return AttemptId::none;
    return found->second.attempts[position];
}

std::vector<AttemptId> RequestRegistry::attempts(const RequestId& id) const {
    const auto found = requests_.find(id);
    return found == requests_.end() ? std::vector<AttemptId>{} : found->second.attempts;
}

void RequestRegistry::removeIfComplete(const RequestId& id) {
    const auto found = requests_.find(id);
    if (found == requests_.end()) return;
    const Request& request = found->second;
    if (!request.client && request.attemptsInFlight == 0) requests_.erase(found);
}

}  // namespace gateway::net
