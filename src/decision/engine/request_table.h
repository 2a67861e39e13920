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
    // Adds a request under a new key. If two requests in flight have the same id, find() by that id returns
    // the newer one until either of them is erased, and null after that.
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
