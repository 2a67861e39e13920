// The state of one endpoint in this gateway: its entry in the endpoint list, its statistics and its limits.
#pragma once

#include "decision/upstream/attempt_sample.h"
#include "decision/upstream/endpoint_concurrency_limit.h"
#include "decision/upstream/endpoint_load.h"
#include "decision/upstream/outlier_detector.h"
#include "decision/upstream/slow_start_tokens.h"
#include "gateway/events.h"

namespace gateway {

// Owns its parts, which change only through the operations here, except for the slow start tokens.
// Invariants: the subset share lies between 0 and 1; an endpoint is usable if and only if its entry's
// availability is `up`.
class Endpoint {
public:
    // An endpoint that is not listed yet. `maxInFlight`: its initial concurrency limit in attempts.
    explicit Endpoint(double maxInFlight) : concurrency_(maxInFlight) {
        entry_.availability = Availability::removed;
    }

    // Replaces the endpoint's entry. If the endpoint has restarted since the previous entry, discards all
    // state except the attempts in flight, resets the concurrency limit to `maxInFlight` and returns true.
    bool applyEntry(const EndpointEntry& entry, double maxInFlight);

    // Records that the endpoint is no longer listed.
    void markRemoved();

    const EndpointEntry& entry() const { return entry_; }

    // Whether the endpoint is listed and not draining.
    bool isUsable() const { return usable_; }

    // Whether the endpoint is no longer listed and has no attempt in flight, so that its slot can be reused.
    bool isUnused() const { return entry_.availability == Availability::removed && inFlight() == 0; }

    // Counts an attempt that is sent to the endpoint, and spends its slow start tokens. `work`: in requests
    // of mean work.
    void beginAttempt(double work);

    // Counts the end of an attempt. Precondition: an attempt is in flight.
    void endAttempt() { concurrency_.endAttempt(); }

    // Updates the statistics and limits with the outcome of an attempt. Precondition: endAttempt() was called
    // for it.
    void observeAttempt(const AttemptEnded& ended, const AttemptSample& sample, TimePoint now);

    // Attempts of this gateway in flight at the endpoint.
    int inFlight() const { return concurrency_.inFlight(); }
    bool hasCapacity() const { return concurrency_.hasCapacity(); }
    bool isEjected(TimePoint now) const { return outlier_.isEjected(inFlight(), now); }

    const EndpointLoad& load() const { return load_; }
    const OutlierDetector& outlier() const { return outlier_; }
    const EndpointConcurrencyLimit& concurrency() const { return concurrency_; }
    const SlowStartTokens& slowStartTokens() const { return slowStartTokens_; }
    SlowStartTokens& slowStartTokens() { return slowStartTokens_; }

    // The share of this endpoint's ring (see EndpointSubset) that is in this gateway's subset; 0 if this
    // endpoint is not in the subset. Always 1 in a small fleet.
    double subsetShare() const { return subsetShare_; }
    bool isInSubset() const { return subsetShare_ > 0; }
    void setSubsetShare(double share) { subsetShare_ = share; }

private:
    EndpointEntry entry_;
    bool usable_ = false;  // the entry's availability is `up`
    double subsetShare_ = 1;
    EndpointLoad load_;
    OutlierDetector outlier_;
    EndpointConcurrencyLimit concurrency_;
    SlowStartTokens slowStartTokens_;
};

}  // namespace gateway
