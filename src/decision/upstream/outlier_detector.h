// Outlier detection for one endpoint: ejects it after repeated failures and admits it again on probation, one
// attempt at a time.
#pragma once

#include "gateway/events.h"
#include "gateway/types.h"

namespace gateway {

// Invariants: the error rate lies between 0 and 1; the end of an ejection never moves to an earlier time.
class OutlierDetector {
public:
    // Takes in the outcome of an attempt. Timeouts and attempts that this gateway gave up are no evidence
    // against the endpoint.
    void observe(Outcome outcome, TimePoint now);

    // Whether the endpoint must not receive another attempt now, while it has `inFlight` attempts. An
    // endpoint on probation admits one attempt at a time.
    bool isEjected(int inFlight, TimePoint now) const {
        return now < ejectedUntil_ || (onProbation_ && inFlight > 0);
    }

    // Whether the endpoint was ejected and has not served an attempt since.
    bool isOnProbation() const { return onProbation_; }

    // Moving average of failures among the attempts, from 0 to 1.
    double errorRate() const { return errorRate_; }

    // End of the latest ejection; the epoch if there was none.
    TimePoint ejectedUntil() const { return ejectedUntil_; }

    // Whether ejections take effect while `ejected` of `usable` endpoints are ejected. They are ignored when
    // the remaining endpoints could not carry the load.
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
