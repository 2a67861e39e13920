// The requests in flight and their attempts. State alone; nothing is decided here.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "gateway/events.h"

namespace gateway {

// Numbers a request; unlike a client's id it never comes twice.
enum class RequestKey : std::uint64_t { none = 0 };

// What an attempt's end says for certain, by the protocol.
inline bool provesNeverRan(Outcome outcome) {
    return outcome == Outcome::rejected || outcome == Outcome::connectFailed || outcome == Outcome::notSent;
}

struct Attempt {
    std::size_t endpointSlot = 0;
    Time sentAt{};
    bool ended = false;
};

// What a request charged to its tenant's quota.
struct QuotaCharge {
    std::int64_t sliceIndex = 0;
    double amount = 0;       // what its add charges: its cost, or more where it stands for unsampled requests
    bool posted = false;     // it is, or may be, on the counter
    bool confirmed = false;  // the counter replied to it
    bool coveredBySamples = false;  // unsampled: the adds of other requests stand for it
    bool fromCeiling = false;       // its cost was drawn from the ceiling's bucket
    int pendingReplies = 0;         // of the counter, that its decision waits for
};

// The first attempt that may have run: a repeat must reach an endpoint that drops it.
struct PossibleRun {
    int zone = 0;
    int cell = 0;
    Time since{};
};

struct Request {
    RequestKey key = RequestKey::none;
    RequestArrived arrival;
    Time arrivedAt{};
    QuotaCharge charge;
    std::vector<Attempt> attempts;
    std::optional<PossibleRun> possibleRun;
    bool decided = false;          // admitted or rejected
    bool closed = false;           // it has its final answer, or its client left
    bool streaming = false;        // its response has begun
    bool reachedEndpoint = false;  // or its plan's ceiling counts it as if

    bool mayHaveRun() const { return possibleRun.has_value(); }
    bool hasAttemptInFlight() const {
        return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return !a.ended; });
    }
};

class RequestTable {
public:
    Request& add(const RequestArrived& arrival, Time now) {
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
