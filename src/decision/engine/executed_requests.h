// Remembers which requests may have been executed, so that the same request is not sent again.
#pragma once

#include <cstddef>
#include <deque>
#include <unordered_set>

#include "gateway/types.h"

namespace gateway {

// Keeps a hash of each request's id for a limited time. At the limit of their number, forgets the oldest one.
class ExecutedRequests {
public:
    ExecutedRequests(Duration retention, std::size_t maxRequests)
        : retention_(retention), maxRequests_(maxRequests) {}

    void add(const RequestId& request, TimePoint now);

    // Returns whether a request with this id was added within the retention time.
    bool contains(const RequestId& request, TimePoint now);

private:
    struct Entry {
        TimePoint addedAt{};
        std::size_t hash = 0;
    };

    void removeOldest();
    void removeExpired(TimePoint now);

    Duration retention_;
    std::size_t maxRequests_;
    std::deque<Entry> entries_;  // the oldest first
    std::unordered_set<std::size_t> hashes_;
};

}  // namespace gateway
