#include "decision/upstream/retry_policy.h"

#include <algorithm>

#include "decision/common/arithmetic.h"

namespace gateway {
namespace {

constexpr double kTokensPerFirstAttempt = 0.2;

}  // namespace

void RetryPolicy::onFirstAttempt() {
    tokens_ = std::min(kMaxTokens, tokens_ + kTokensPerFirstAttempt);
}

bool RetryPolicy::takeRetry(const Request& request, TimePoint now) {
    if (static_cast<int>(request.attempts.size()) >= settings_.maxAttempts || tokens_ < 1) return false;
    if (request.hasAttemptInFlight()) return false;
    const double expected = latency_.expectedSeconds(request.arrival.requestClass);
    if (toSeconds(latency_.timeLeft(request, now)) < expected) return false;
    const bool isSafe = classOf(request).idempotency == Idempotency::safe;
    if (request.possibleRun && !isSafe && !isWithinIdempotencyWindow(request, now)) return false;
    tokens_ -= 1;
    return true;
}

bool RetryPolicy::isRepeatHarmless(const Request& request, TimePoint now) const {
    if (classOf(request).idempotency == Idempotency::safe) return true;
    if (!request.possibleRun) return !request.hasAttemptInFlight();
    return classOf(request).deduplicationScope == DeduplicationScope::all &&
           isWithinIdempotencyWindow(request, now);
}

Duration RetryPolicy::beginWithin(const Request& request, TimePoint now) const {
    const RequestClass& terms = classOf(request);
    if (!request.possibleRun || terms.idempotency != Idempotency::withKey) return Duration{};
    return request.possibleRun->since + terms.idempotencyWindow - now;
}

// Endpoints drop a repeat of the request, which may have run.
bool RetryPolicy::isWithinIdempotencyWindow(const Request& request, TimePoint now) const {
    const RequestClass& terms = classOf(request);
    return terms.idempotency == Idempotency::withKey &&
           now < request.possibleRun->since + terms.idempotencyWindow;
}

}  // namespace gateway
