#include "decision/upstream/endpoint.h"

namespace gateway {

bool Endpoint::applyEntry(const EndpointEntry& entry, double maxInFlight) {
    const bool hasRestarted = entry.startedAt > entry_.startedAt;
    entry_ = entry;
    usable_ = entry.availability == Availability::up;
    if (!hasRestarted) return false;
    subsetShare_ = 1;
    load_ = EndpointLoad{};
    outlier_ = OutlierDetector{};
    concurrency_.reset(maxInFlight);
    slowStartTokens_ = SlowStartTokens{};
    return true;
}

void Endpoint::markRemoved() {
    entry_.availability = Availability::removed;
    usable_ = false;
}

void Endpoint::beginAttempt(double work) {
    concurrency_.beginAttempt();
    slowStartTokens_.spend(work);
}

void Endpoint::observeAttempt(const AttemptEnded& ended, const AttemptSample& sample, TimePoint now) {
    if (ended.loadReport && ended.loadReport->inFlight)
        load_.recordReport(*ended.loadReport->inFlight, inFlight());
    load_.recordAttempt(sample, now);
    concurrency_.observe(sample, now);
    outlier_.observe(ended.outcome, now);
}

}  // namespace gateway
