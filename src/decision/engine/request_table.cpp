#include "decision/engine/request_table.h"

namespace gateway {

Request& RequestTable::add(const RequestArrived& arrival, TimePoint now) {
    const RequestKey key{++lastKey_};
    keys_[arrival.request] = key;
    Request& request = requests_[key];
    request.key = key;
    request.arrival = arrival;
    request.arrivedAt = now;
    return request;
}

Request* RequestTable::find(RequestKey key) {
    const auto found = requests_.find(key);
    return found == requests_.end() ? nullptr : &found->second;
}

Request* RequestTable::find(const RequestId& id) {
    const auto found = keys_.find(id);
    return found == keys_.end() ? nullptr : find(found->second);
}

void RequestTable::eraseIfDone(Request& request) {
    if (!request.closed || request.hasAttemptInFlight()) return;
    const RequestKey key = request.key;
    keys_.erase(request.arrival.request);
    requests_.erase(key);
}

}  // namespace gateway
