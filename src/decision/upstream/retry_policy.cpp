#include "decision/upstream/retry_policy.h"

#include <algorithm>

#include "decision/common/arithmetic.h"

namespace gateway {
namespace {

constexpr double kTokensPerFirstAttempt = 0.2;

}  // namespace

void RetryPolicy::recordFirstAttempt() {
    tokens_ = std::min(kMaxTokens, tokens_ + kTokensPerFirstAttempt);
}

bool RetryPolicy::tryAcquireRetry(const Request& request, TimePoint now) {
    if (tokens_ < 1 || !canRetry(request, now)) return false;
    tokens_ -= 1;
    return true;
}

bool RetryPolicy::canRetry(const Request& request, TimePoint now) const {
    if (static_cast<int>(request.attempts.size()) >= settings_.maxAttempts) return false;
    if (request.hasAttemptInFlight()) return false;
    const double expectedSeconds = latency_.expectedSeconds(request.arrival.requestClass);
    if (toSeconds(latency_.timeLeft(request, now)) < expectedSeconds) return false;
    const bool isSafe = classOf(request).idempotency == Idempotency::safe;
    return !request.possibleExecution || isSafe || isWithinIdempotencyWindow(request, now);
}

bool RetryPolicy::isClientRetrySafe(const Request& request, TimePoint now) const {
    const RequestClass& terms = classOf(request);
    if (terms.idempotency == Idempotency::safe) return true;
    if (!request.possibleExecution) return !request.hasAttemptInFlight();
    // The client's retry may reach any endpoint, so all endpoints must deduplicate it.
    return terms.deduplicationScope == DeduplicationScope::all && isWithinIdempotencyWindow(request, now);
}

Duration RetryPolicy::maxSendDelay(const Request& request, TimePoint now) const {
    const RequestClass& terms = classOf(request);
    if (!request.possibleExecution || terms.idempotency != Idempotency::withKey) return Duration{};
    return request.possibleExecution->sentAt + terms.idempotencyWindow - now;
}

// Whether endpoints still recognize the request's idempotency key. Precondition: the request may have been
// executed.
bool RetryPolicy::isWithinIdempotencyWindow(const Request& request, TimePoint now) const {
    const RequestClass& terms = classOf(request);
    return terms.idempotency == Idempotency::withKey &&
           now < request.possibleExecution->sentAt + terms.idempotencyWindow;
}

const RequestClass& RetryPolicy::classOf(const Request& request) const {
    return settings_.classes[toPosition(request.arrival.requestClass)];
}

}  // namespace gateway
