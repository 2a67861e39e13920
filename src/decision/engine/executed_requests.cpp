#include "decision/engine/executed_requests.h"

#include <functional>
#include <string>

namespace gateway {
namespace {

std::size_t hashOf(const RequestId& request) {
    return std::hash<std::string>{}(request.value());
}

}  // namespace

void ExecutedRequests::add(const RequestId& request, TimePoint now) {
    removeExpired(now);
    const std::size_t hash = hashOf(request);
    const bool isNew = hashes_.insert(hash).second;
    if (!isNew) return;
    entries_.push_back({now, hash});
    if (entries_.size() > maxRequests_) removeOldest();
}

bool ExecutedRequests::contains(const RequestId& request, TimePoint now) {
    removeExpired(now);
    return hashes_.contains(hashOf(request));
}

void ExecutedRequests::removeExpired(TimePoint now) {
    while (!entries_.empty() && now - entries_.front().addedAt > retention_) removeOldest();
}

void ExecutedRequests::removeOldest() {
    hashes_.erase(entries_.front().hash);
    entries_.pop_front();
}

}  // namespace gateway
