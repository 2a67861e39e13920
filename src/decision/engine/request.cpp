#include "decision/engine/request.h"

#include <algorithm>

namespace gateway {

bool provesNotExecuted(Outcome outcome) {
    switch (outcome) {
        case Outcome::rejected:
        case Outcome::connectFailed:
        case Outcome::notSent:
            return true;
        case Outcome::ok:
        case Outcome::error:
        case Outcome::timedOut:
        case Outcome::reset:
        case Outcome::cancelled:
            return false;
    }
    return false;
}

bool Request::hasAttemptInFlight() const {
    return std::any_of(attempts.begin(), attempts.end(),
                       [](const Attempt& attempt) { return !attempt.ended; });
}

}  // namespace gateway
