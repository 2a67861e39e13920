// The requests in flight, by their keys and by the ids that clients gave them.
#pragma once

#include <cstdint>
#include <unordered_map>

#include "decision/engine/request.h"
#include "gateway/events.h"

namespace gateway {

class RequestTable {
public:
    Request& add(const RequestArrived& arrival, TimePoint now) {
        const RequestKey key{++lastKey_};
        keys_[arrival.request] = key;
        Request& request = requests_[key];
        request.key = key;
        request.arrival = arrival;
        request.arrivedAt = now;
        return request;
    }

    // Null where no such request is in flight.
    Request* find(RequestKey key) {
        const auto found = requests_.find(key);
        return found == requests_.end() ? nullptr : &found->second;
    }
    Request* find(const RequestId& id) {
        const auto found = keys_.find(id);
        return found == keys_.end() ? nullptr : find(found->second);
    }

    // Forgets a request that has its final answer and no attempt in flight; `request` is gone then.
    void eraseIfDone(Request& request) {
        if (!request.closed || request.hasAttemptInFlight()) return;
        const RequestKey key = request.key;
        keys_.erase(request.arrival.request);
        requests_.erase(key);
    }

private:
    std::unordered_map<RequestId, RequestKey> keys_;
    std::unordered_map<RequestKey, Request> requests_;
    std::uint64_t lastKey_ = 0;
};

}  // namespace gateway
