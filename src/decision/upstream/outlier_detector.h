// Outlier detection for one endpoint. Ejects the endpoint for a time after a failed connection, at a high
// error rate, or after a failure on probation. Probation begins with the ejection and ends when an attempt
// succeeds. Between the end of the ejection and that of the probation, the endpoint receives one attempt at a
// time.
#pragma once

#include "gateway/events.h"
#include "gateway/types.h"

namespace gateway {

// Invariants: the error rate lies between 0 and 1; the end of an ejection never moves to an earlier time.
class OutlierDetector {
public:
    // Records the outcome of an attempt. Ignores timeouts and attempts that this gateway cancelled or did not
    // send, since they are no evidence against the endpoint.
    void observe(Outcome outcome, TimePoint now);

    // Whether the endpoint must not receive another attempt now: until the end of the ejection, and then,
    // while it is on probation, as long as an attempt is in flight. `inFlight`: attempts of this gateway in
    // flight at the endpoint.
    bool isEjected(int inFlight, TimePoint now) const {
        return now < ejectedUntil_ || (onProbation_ && inFlight > 0);
    }

    // Whether the endpoint was ejected and no attempt has succeeded since. Also true during the ejection.
    bool isOnProbation() const { return onProbation_; }

    // Moving average from 0 to 1, in which a success counts as 0, and an error, reset or rejection as 1.
    // Other outcomes do not count. The end of a probation caps it.
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
