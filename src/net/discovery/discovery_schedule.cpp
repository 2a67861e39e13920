#include "net/discovery/discovery_schedule.h"

#include <algorithm>

namespace gateway::net {
namespace {

using std::chrono::milliseconds;

// The longest period that meets kUpdateDeadline.
constexpr Duration kMaxPeriod = kUpdateDeadline - kAssumedCallTime;
constexpr Duration kMinPeriod = std::chrono::seconds(1);
constexpr Duration kPeriodAfterSilence = kUpdateDeadline - kMaxSilence - kAssumedCallTimeAfterSilence;
constexpr Duration kPeriodAfterReload = milliseconds(1500);
constexpr Duration kInitialBackoff = milliseconds(50);
constexpr Duration kMaxBackoff = milliseconds(200);

}  // namespace

// ---- PollSlots ------------------------------------------------------------------------------------

PollSlots::PollSlots(int gatewayIndex, int gatewayCount)
    : count_(std::max(gatewayCount, 1)), index_(std::clamp(gatewayIndex, 0, count_ - 1)) {}

Duration PollSlots::untilNext(TimePoint now, Duration period) const {
    const Duration offset = period * index_ / count_;
    const Duration sinceSlot = (now.time_since_epoch() - offset) % period;
    return sinceSlot < Duration::zero() ? -sinceSlot : period - sinceSlot;
}

// ---- DiscoverySchedule ----------------------------------------------------------------------------

DiscoverySchedule::DiscoverySchedule(const PollSlots& slots, Duration regularPeriod, std::uint64_t seed)
    : slots_(slots), regularPeriod_(regularPeriod), backoff_(kInitialBackoff, kMaxBackoff, seed) {}

DiscoverySchedule DiscoverySchedule::forPush(std::uint64_t seed) {
    return DiscoverySchedule(PollSlots(0, 1), Duration::zero(), seed);
}

DiscoverySchedule DiscoverySchedule::forPolling(int gatewayIndex, int gatewayCount, Duration maxPollInterval,
                                                std::uint64_t seed) {
    const bool hasLimit = maxPollInterval > Duration::zero();
    const Duration period = hasLimit ? std::clamp(maxPollInterval, kMinPeriod, kMaxPeriod) : kMaxPeriod;
    return DiscoverySchedule(PollSlots(gatewayIndex, gatewayCount), period, seed);
}

Duration DiscoverySchedule::delayAfterStart(TimePoint now) const {
    return isPolling() ? untilSlot(now, regularPeriod_) : kPushConnectWait;
}

Duration DiscoverySchedule::delayAfterRequest(TimePoint now) const {
    return isPolling() ? untilSlot(now, regularPeriod_) : kMaxSilence;
}

Duration DiscoverySchedule::delayAfterFailure(TimePoint now) {
    if (!isPolling()) return backoff_.next();
    return untilSlot(now, now < fastPollUntil_ ? fastPollPeriod_ : regularPeriod_);
}

Duration DiscoverySchedule::delayAfterSilence(TimePoint now) {
    if (!isPolling()) return Duration::zero();
    return startFastPolling(now, kUpdateDeadline - kMaxSilence, kPeriodAfterSilence);
}

Duration DiscoverySchedule::delayAfterReload(TimePoint now) {
    backoff_.reset();
    if (!isPolling()) return Duration::zero();
    return startFastPolling(now, kReloadDeadline, kPeriodAfterReload);
}

Duration DiscoverySchedule::delayAfterDescriptorShortage() {
    return backoff_.next();
}

void DiscoverySchedule::recordListReceived() {
    backoff_.reset();
    fastPollUntil_ = TimePoint::min();
}

Duration DiscoverySchedule::startFastPolling(TimePoint now, Duration duration, Duration period) {
    fastPollUntil_ = now + duration;
    fastPollPeriod_ = period;
    return untilSlot(now, period);
}

Duration DiscoverySchedule::untilSlot(TimePoint now, Duration period) const {
    return slots_.untilNext(now, std::min(period, regularPeriod_));
}

}  // namespace gateway::net
