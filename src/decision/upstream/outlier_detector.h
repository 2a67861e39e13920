// Outlier detection for one endpoint. Ejects the endpoint for a time after repeated failures. The endpoint is
// on probation after that: it receives one attempt at a time until one succeeds.
#pragma once

#include "gateway/events.h"
#include "gateway/types.h"

namespace gateway {

// Invariants: the error rate lies between 0 and 1; the end of an ejection never moves to an earlier time.
class OutlierDetector {
public:
    // Records the outcome of an attempt. Ignores timeouts and attempts that this gateway cancelled or did not
    // send.
    void observe(Outcome outcome, TimePoint now);

    // Whether the endpoint must not receive another attempt now. `inFlight`: attempts of this gateway in
    // flight at the endpoint.
    bool isEjected(int inFlight, TimePoint now) const {
        return now < ejectedUntil_ || (onProbation_ && inFlight > 0);
    }

    // Whether the endpoint was ejected and has not served an attempt since.
    bool isOnProbation() const { return onProbation_; }

    // Moving average of the share of failed attempts, from 0 to 1.
    double errorRate() const { return errorRate_; }

    // End of the latest ejection; the epoch if there was none.
    TimePoint ejectedUntil() const { return ejectedUntil_; }

    // Whether ejections take effect while `ejected` of `usable` endpoints are ejected. Ejections are ignored
    // while the remaining endpoints could not serve the load.
    static bool isEjectionAllowed(int ejected, int usable);

private:
    void recordSuccess();
    void recordFailure(TimePoint now);
    void eject(TimePoint now);

    double errorRate_ = 0;
    TimePoint ejectedUntil_{};
    bool onProbation_ = false;
    int consecutiveEjections_ = 0;
};

}  // namespace gateway
