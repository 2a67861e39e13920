#include "decision/quota/quota_admission.h"

#include <algorithm>
#include <cmath>

#include "decision/common/arithmetic.h"

namespace gateway {
namespace {

// Lower bounds of the factors of the benefit of a reply.
constexpr double kMinReplyUtilization = 0.1;
constexpr double kMinReplyAgeShare = 0.1;
constexpr double kMinReplyPenalty = 0.1;

// Age at which the last reported total is no longer fresh. While it is fresh, another reply has less benefit.
constexpr double kFreshReplySliceShare = 0.1;

// Upper bounds of the sample weight, which includes the sampled request itself.
constexpr double kMaxSampleWeight = 2;
constexpr double kMaxLowTrafficSampleWeight = 8;

constexpr double kExhaustedReplySmoothing = 0.02;

// With a usage meter, a request of a tenant with low local traffic is admitted without a counter reply with
// the probability min(1, limit / utilization) ^ kMeterExponent. The limit is 1 less kMeterMarginQuotaShare
// times the net penalty of an over-quota request.
constexpr double kMeterExponent = 4;
constexpr double kMeterMarginQuotaShare = 0.25;

constexpr double kMinUtilization = 1e-9;  // avoids a division by zero

}  // namespace

// ---- Arrival --------------------------------------------------------------------------------------

QuotaAdmission::StartResult QuotaAdmission::start(EventContext& context, Request& request) {
    Tenant& tenant = tenants_.touch(request.arrival, context.now);
    if (estimator_.planOf(tenant).rate <= 0) return StartResult::readyToDecide;
    const double cost = request.arrival.cost;
    WindowSlice& current = window_.advance(tenant, context.now);
    request.charge.sliceIndex = current.index();
    request.charge.amount = cost;
    if (current.total() > 0) {
        window_.expireCurrentSliceQuota(tenant, context.now);
        // An immediate rejection posts no charge, so the totals that other gateways read don't include a
        // charge that is about to be refunded.
        if (!window_.remainingQuota(tenant, current, current.total(), context.now).covers(cost))
            return StartResult::rejected;
    }
    if (!settings_.counterEnabled) return StartResult::readyToDecide;
    const bool sampled = sampleRequest(context, tenant, current, request);
    if (!sampled) return StartResult::readyToDecide;
    ledger_.postCharge(context, tenant, current, request);
    // Calls to an unavailable counter only detect its recovery; no request waits for their replies.
    return sampler_.isUnavailable() ? StartResult::readyToDecide : StartResult::waitingForReply;
}

// Decides whether the request calls the counter, and sets its charge accordingly. A congested counter is
// called for a sample of the requests only. If this gateway has already posted a charge to the slice, or
// the counter is unavailable, the next call for the slice carries the cost of unsampled requests. Otherwise
// the weights of the sampled requests cover that cost.
bool QuotaAdmission::sampleRequest(EventContext& context, Tenant& tenant, const WindowSlice& current,
                                   Request& request) {
    const double cost = request.arrival.cost;
    const bool usesSampleWeights = !current.hasChargeCalls() && !sampler_.isUnavailable();
    tenant.usage.recordDemand(cost, estimator_.planOf(tenant), context.now);
    const double benefit = replyBenefit(tenant, current, context.now);
    sampler_.recordReplyBenefit(benefit);
    const double probability = sampler_.sampleProbability(benefit);
    const bool sampled = probability >= 1 || context.random.next() < probability;
    if (!sampled)
        request.charge.coveredBySamples = usesSampleWeights;
    else if (usesSampleWeights)
        request.charge.amount = cost * std::min(maxSampleWeight(tenant), 1 / probability);
    return sampled;
}

// A counter reply has the highest benefit for tenants that are close to their quota, and under plans with a
// high price and a high penalty for over-quota requests.
double QuotaAdmission::replyBenefit(const Tenant& tenant, const WindowSlice& slice, TimePoint now) const {
    const QuotaPlan& plan = estimator_.planOf(tenant);
    const double utilization =
        std::clamp(window_.quotaUtilization(tenant, slice, now), kMinReplyUtilization, 1.0);
    // The meter shows which few tenants are close to their quota, so utilization has a higher weight.
    const double weight = estimator_.reliesOnMeter(tenant) ? utilization * utilization : utilization;
    const double age =
        toSeconds(now - tenant.usage.totalReportedAt()) / (kFreshReplySliceShare * sliceSeconds(plan));
    return plan.price * (plan.overQuotaPenalty + kMinReplyPenalty) * weight *
           std::clamp(age, kMinReplyAgeShare, 1.0);
}

double QuotaAdmission::maxSampleWeight(const Tenant& tenant) const {
    return estimator_.hasLowLocalTraffic(tenant) ? kMaxLowTrafficSampleWeight : kMaxSampleWeight;
}

Duration QuotaAdmission::retryAfter(const Request& request, TimePoint now) const {
    const Tenant* tenant = tenants_.find(request.arrival.tenant);
    if (tenant == nullptr) return Duration{};
    return window_.timeUntilQuota(*tenant, request.arrival.cost, now);
}

// ---- Decision -------------------------------------------------------------------------------------

QuotaAdmission::Decision QuotaAdmission::decide(EventContext& context, Request& request,
                                                TimePoint startedAt) {
    Tenant& tenant = tenants_.touch(request.arrival, context.now);
    WindowSlice* slice = advanceToChargedSlice(tenant, request, context.now);
    const bool admitted = decideAdmission(context, tenant, request, slice, startedAt);
    if (admitted) {
        if (slice != nullptr) ledger_.recordAdmitted(tenant, *slice, request);
        return {.admitted = true};
    }
    ledger_.refundRejected(context, request, slice);
    window_.expireCurrentSliceQuota(tenant, context.now);
    return {.admitted = false,
            .retryAfter = window_.timeUntilQuota(tenant, request.arrival.cost, context.now)};
}

// Returns the slice that the request was charged to, or the current one if that slice has left the window.
// Returns null for a plan without a quota.
WindowSlice* QuotaAdmission::advanceToChargedSlice(Tenant& tenant, const Request& request, TimePoint now) {
    if (estimator_.planOf(tenant).rate <= 0) return nullptr;
    WindowSlice& current = window_.advance(tenant, now);
    WindowSlice* charged = findSlice(tenant, request.charge.sliceIndex);
    return charged != nullptr ? charged : &current;
}

bool QuotaAdmission::decideAdmission(EventContext& context, Tenant& tenant, Request& request,
                                     WindowSlice* slice, TimePoint startedAt) {
    const QuotaPlan& plan = estimator_.planOf(tenant);
    QuotaCharge& charge = request.charge;
    if (slice != nullptr) {
        const bool fits = decideByWindow(tenant, request, *slice, context.now);
        if (!fits) return false;
    }
    if (!charge.confirmed && estimator_.hasLowLocalTraffic(tenant)) {
        const double draw = context.random.next();
        if (draw >= unconfirmedAdmissionProbability(tenant, plan)) return false;
    }
    if (plan.concurrency > 0 && !isWithinConcurrencyLimit(tenant, plan)) return false;
    const bool isUnconfirmed = !charge.confirmed || slice == nullptr;
    if (!isUnconfirmed || plan.ceilingRate <= 0) return true;
    charge.consumedCeilingTokens =
        ceiling_.tryConsume(tenant, plan, request.arrival.cost, context.now, startedAt);
    return charge.consumedCeilingTokens;
}

bool QuotaAdmission::decideByWindow(Tenant& tenant, const Request& request, WindowSlice& slice,
                                    TimePoint now) {
    const QuotaCharge& charge = request.charge;
    const bool isInTotal = charge.confirmed && slice.index() == charge.sliceIndex;
    const double total = window_.estimatedTotal(tenant, slice, now) - (isInTotal ? charge.amount : 0);
    window_.expireUnusedQuota(tenant, slice, total, now);
    bool fits = window_.remainingQuota(tenant, slice, total, now).covers(request.arrival.cost);
    // The counter is not called for this request, so a recent rejection by a counter reply applies to it too.
    const Duration sliceLength = fromSeconds(sliceSeconds(estimator_.planOf(tenant)));
    if (charge.coveredBySamples && now < tenant.exhaustedAt + sliceLength) fits = false;
    recordWindowDecision(tenant, charge, fits, now);
    return fits;
}

void QuotaAdmission::recordWindowDecision(Tenant& tenant, const QuotaCharge& charge, bool fits,
                                          TimePoint now) {
    if (charge.confirmed) {
        tenant.exhaustedAt = fits ? TimePoint{} : now;
        double& exhaustedShare = exhaustedReplyShares_[toPosition(tenant.plan)];
        exhaustedShare = movingAverage(exhaustedShare, fits ? 0 : 1, kExhaustedReplySmoothing);
    }
    if (tenant.exhaustedAt == now) tenant.usage.recordExhausted();
}

bool QuotaAdmission::isWithinConcurrencyLimit(const Tenant& tenant, const QuotaPlan& plan) const {
    const double share = std::floor(plan.concurrency * estimator_.trafficShare(tenant));
    return tenant.inFlight < std::max(1.0, share);
}

// Returns the probability with which a request of a tenant with low local traffic is admitted without a
// counter reply. The meter shows admitted requests only, so it reads 1 for any tenant that is limited to its
// quota. The probability therefore starts to decrease at a utilization below 1; the higher the net
// penalty of an over-quota request, the lower this limit is. Without a meter, the probability decreases with
// the share of replies that left no quota.
double QuotaAdmission::unconfirmedAdmissionProbability(const Tenant& tenant, const QuotaPlan& plan) const {
    const double netPenalty = std::clamp(plan.overQuotaPenalty - plan.overQuotaWeight, 0.0, 1.0);
    if (settings_.usageMeterPeriod <= Duration{})
        return 1 - exhaustedReplyShares_[toPosition(tenant.plan)] * netPenalty;
    const double maxUtilization = 1 - kMeterMarginQuotaShare * netPenalty;
    const double utilization = std::max(tenant.usage.meteredUtilization(), kMinUtilization);
    return std::pow(std::min(1.0, maxUtilization / utilization), kMeterExponent);
}

}  // namespace gateway
