// The requests in flight, by their keys and by the ids that clients choose.
#pragma once

#include <cstdint>
#include <unordered_map>

#include "decision/engine/request.h"
#include "gateway/events.h"

namespace gateway {

// References to a request stay valid until the request is erased.
class RequestTable {
public:
    // Adds a request under a new key. A request in flight with the same id is from then on found by its key
    // only.
    Request& add(const RequestArrived& arrival, TimePoint now);

    // Return null if no such request is in flight.
    Request* find(RequestKey key);
    Request* find(const RequestId& id);

    // Erases a request that is closed and has no attempt in flight; the reference is invalid afterwards. Does
    // nothing for any other request.
    void eraseIfDone(Request& request);

private:
    std::unordered_map<RequestId, RequestKey> keys_;
    std::unordered_map<RequestKey, Request> requests_;
    std::uint64_t lastKey_ = 0;
};

}  // namespace gateway
