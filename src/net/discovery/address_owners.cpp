#include "net/discovery/address_owners.h"

#include <algorithm>
#include <utility>

namespace gateway::net {
namespace {

void removeEndpoint(EndpointList& list, const EndpointId& id) {
    const auto isSame = [&](const ResolvedEndpoint& listed) { return listed.entry.id == id; };
    auto found = std::find_if(list.endpoints.begin(), list.endpoints.end(), isSame);
    if (found == list.endpoints.end()) found = list.endpoints.emplace(found);
    found->entry.id = id;
    found->entry.availability = Availability::removed;
    found->isReplaced = true;
}

}  // namespace

void AddressOwners::removeReplaced(EndpointList& list) {
    if (list.isSnapshot) owners_.clear();
    for (const ResolvedEndpoint& listed : list.endpoints) forget(listed.entry.id);
    Replaced replaced;
    for (const ResolvedEndpoint& listed : list.endpoints)
        if (listed.entry.availability != Availability::removed) recordOwner(listed, replaced);
    for (const EndpointId& id : replaced) removeEndpoint(list, id);
}

void AddressOwners::forget(const EndpointId& id) {
    std::erase_if(owners_, [&](const auto& known) { return known.second.id == id; });
}

// Endpoints that started at the same time, or long ago, are not told apart: both stay.
void AddressOwners::recordOwner(const ResolvedEndpoint& listed, Replaced& replaced) {
    const Owner candidate{listed.entry.id, listed.entry.startedAt};
    const auto [found, isNew] = owners_.try_emplace(listed.address, candidate);
    if (isNew || found->second.startedAt == candidate.startedAt) return;
    if (candidate.startedAt < found->second.startedAt)
        replaced.push_back(candidate.id);
    else
        replaced.push_back(std::exchange(found->second, candidate).id);
}

}  // namespace gateway::net
