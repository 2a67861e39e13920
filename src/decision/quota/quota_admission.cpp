#include "decision/quota/quota_admission.h"

#include <algorithm>
#include <cmath>

#include "decision/common/arithmetic.h"

namespace gateway {
namespace {

constexpr double kMinQuotaUse = 0.1;    // that a tenant is taken to have, where a reply is valued
constexpr double kFreshReply = 0.1;     // share of a slice before which a tenant's next reply is worth less
constexpr double kMaxSampleWeight = 2;  // of the add of a sampled request, itself in
constexpr double kMaxSparseSampleWeight = 8;  // the same for a tenant that is sparse here
constexpr double kRejectedSmoothing = 0.02;   // weight of a new reply in the share without room
constexpr double kMeterExponent = 4;  // how steeply fewer are admitted unconfirmed as the use nears the quota
constexpr double kMeterMargin = 0.25;  // of the quota: from so far under it, where one too many earns nothing
constexpr double kMinUse = 1e-9;       // against division by zero

}  // namespace

QuotaAdmission::QuotaAdmission(const CounterLedger::Parts& parts, const CounterLedger& ledger)
    : parts_(parts), ledger_(ledger), rejectedShare_(parts.settings.plans.size(), 0) {}

QuotaAdmission::Start QuotaAdmission::start(EventContext& context, Request& request) const {
    Tenant& tenant = parts_.tenants.touch(request.arrival, context.now);
    if (parts_.usage.planOf(tenant).rate <= 0) return Start::decideNow;
    const double cost = request.arrival.cost;
    WindowSlice& current = parts_.window.advance(tenant, context.now);
    request.charge.sliceIndex = current.index;
    request.charge.amount = cost;
    if (parts_.window.isKnownFull(tenant, cost, context.now)) return Start::rejected;
    if (!parts_.settings.counterEnabled) return Start::decideNow;
    // A crowded counter is called less: a frequent tenant's next add carries what is admitted meanwhile; of
    // one that has no call out for this slice, a sampled request's add stands for the others.
    const bool mayStandForOthers = !current.hasOwnCalls && !parts_.sampler.isSilent();
    parts_.usage.noteDemand(tenant, cost, context.now);
    const double probability = parts_.sampler.probabilityFor(replyValue(tenant, current, context.now));
    if (probability < 1 && context.random.next() >= probability) {
        request.charge.coveredBySamples = mayStandForOthers;
        return Start::decideNow;
    }
    if (mayStandForOthers) request.charge.amount = cost * std::min(maxSampleWeight(tenant), 1 / probability);
    ledger_.postCharge(context, tenant, current, request);
    // A counter that mostly fails is called to notice its return, but nobody waits for it.
    return parts_.sampler.isSilent() ? Start::decideNow : Start::waiting;
}

Duration QuotaAdmission::retryAfter(EventContext& context, const Request& request) const {
    Tenant* tenant = parts_.tenants.find(request.arrival.tenant);
    if (tenant == nullptr) return Duration{};
    return parts_.window.timeUntilRoom(*tenant, request.arrival.cost, context.now);
}

QuotaAdmission::Decision QuotaAdmission::decide(EventContext& context, Request& request,
                                                TimePoint startedAt) {
    Tenant& tenant = parts_.tenants.touch(request.arrival, context.now);
    const QuotaPlan& plan = parts_.usage.planOf(tenant);
    QuotaCharge& charge = request.charge;
    const double cost = request.arrival.cost;
    WindowSlice* slice = nullptr;
    if (plan.rate > 0) {
        WindowSlice& current = parts_.window.advance(tenant, context.now);
        slice = findSlice(tenant, charge.sliceIndex);
        if (slice == nullptr) slice = &current;
    }
    bool admitted = slice == nullptr || fitsWindow(tenant, request, *slice, context.now);
    if (admitted && !charge.confirmed && parts_.usage.isSparseHere(tenant))
        admitted = context.random.next() < unconfirmedProbability(tenant, plan);
    if (plan.concurrency > 0) admitted = admitted && fitsConcurrency(tenant, plan);
    const bool unconfirmed = !charge.confirmed || slice == nullptr;
    if (admitted && unconfirmed && plan.ceilingRate > 0) {
        charge.fromCeiling = parts_.ceiling.take(tenant, plan, cost, context.now, startedAt);
        admitted = charge.fromCeiling;
    }
    if (!admitted) {
        ledger_.refundRejected(context, request, slice);
        return {false, parts_.window.timeUntilRoom(tenant, cost, context.now)};
    }
    if (slice != nullptr) ledger_.bookAdmitted(tenant, *slice, request, unconfirmed);
    return {true, Duration{}};
}

bool QuotaAdmission::fitsWindow(Tenant& tenant, const Request& request, WindowSlice& slice, TimePoint now) {
    const QuotaCharge& charge = request.charge;
    const double sliceLength = sliceSeconds(parts_.usage.planOf(tenant));
    const bool inSum = charge.confirmed && slice.index == charge.sliceIndex;
    const double sum = parts_.window.estimatedSum(tenant, slice, now) - (inSum ? charge.amount : 0);
    bool fits = parts_.window.hasRoomFor(tenant, slice, sum, request.arrival.cost, now);
    if (charge.coveredBySamples && now < tenant.rejectedAt + fromSeconds(sliceLength)) fits = false;
    if (charge.confirmed) {
        tenant.rejectedAt = fits ? TimePoint{} : now;
        double& rejectedShare = rejectedShare_[toPosition(tenant.plan)];
        rejectedShare = movingAverage(rejectedShare, fits ? 0 : 1, kRejectedSmoothing);
    }
    if (tenant.rejectedAt == now) tenant.usage.meteredUse = std::max(tenant.usage.meteredUse, 1.0);
    return fits;
}

bool QuotaAdmission::fitsConcurrency(const Tenant& tenant, const QuotaPlan& plan) const {
    const double share = std::floor(plan.concurrency * parts_.usage.trafficShare(tenant));
    return tenant.inFlight < std::max(1.0, share);
}

// Of a tenant that is sparse here. The meter shows what was sent on: one held to its quota reads 1, so where
// one too many costs, less is admitted before that. Without a meter: as others of its plan have room.
double QuotaAdmission::unconfirmedProbability(const Tenant& tenant, const QuotaPlan& plan) const {
    const double loss = std::clamp(plan.overQuotaPenalty - plan.overQuotaWeight, 0.0, 1.0);
    if (parts_.settings.usageMeterPeriod <= Duration{})
        return 1 - rejectedShare_[toPosition(tenant.plan)] * loss;
    const double full = 1 - kMeterMargin * loss;
    return std::pow(std::min(1.0, full / std::max(tenant.usage.meteredUse, kMinUse)), kMeterExponent);
}

// What the counter's reply is worth: most for tenants that come near their quota, and by what admitting one
// too many costs.
double QuotaAdmission::replyValue(const Tenant& tenant, const WindowSlice& slice, TimePoint now) const {
    const QuotaPlan& plan = parts_.usage.planOf(tenant);
    double use = std::clamp(parts_.window.quotaUse(tenant, slice, now), kMinQuotaUse, 1.0);
    if (parts_.usage.reliesOnMeter(tenant))
        use *= use;  // few come near their quota, and the meter knows them
    const double age = toSeconds(now - tenant.usage.totalAt) / (kFreshReply * sliceSeconds(plan));
    return plan.price * (plan.overQuotaPenalty + kMinQuotaUse) * use * std::clamp(age, kMinQuotaUse, 1.0);
}

double QuotaAdmission::maxSampleWeight(const Tenant& tenant) const {
    return parts_.usage.isSparseHere(tenant) ? kMaxSparseSampleWeight : kMaxSampleWeight;
}

}  // namespace gateway
