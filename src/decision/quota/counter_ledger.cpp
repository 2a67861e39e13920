#include "decision/quota/counter_ledger.h"

#include <algorithm>

#include "decision/common/arithmetic.h"

namespace gateway {
namespace {

constexpr double kFlushDelaySliceShare = 0.1;
constexpr double kDebtReadUtilization = 0.5;

// The smallest shortage of a total, compared with the posted cost, that indicates lost counts.
constexpr double kMinLostBurstShare = 0.5;  // with reconciliation, as a share of the burst
constexpr double kMinLostCost = 0.5;        // without reconciliation

// A call counts as the first of all gateways to its slice if this gateway has posted nothing else to the
// slice and the reported total exceeds the call's charge by at most this.
constexpr double kFirstCallMargin = 0.5;

// Whether the counter has counted a call, or most likely has. A congested counter still processes calls that
// have timed out, and posting such a call again could exhaust the tenant's quota. If the call was lost after
// all, the next total is lower than the posted cost.
bool isLikelyCounted(Outcome outcome) {
    return outcome == Outcome::ok || outcome == Outcome::timedOut || outcome == Outcome::reset;
}

// Records the outcome of the call that posted the request's charge.
void recordChargeReply(Request& request, Outcome outcome) {
    QuotaCharge& charge = request.charge;
    charge.counted = isLikelyCounted(outcome);
    charge.confirmed = outcome == Outcome::ok;
    // A call that was not counted covers no unsampled requests, so the sample weight no longer applies.
    if (!charge.counted) charge.amount = request.arrival.cost;
}

}  // namespace

// ---- Calls and replies ----------------------------------------------------------------------------

void CounterLedger::postCharge(EventContext& context, const Tenant& tenant, WindowSlice& slice,
                               Request& request) {
    ++request.charge.pendingReplies;
    post(context, tenant, slice, slice.beginChargeCall(request.key, request.charge.amount));
}

void CounterLedger::post(EventContext& context, const Tenant& tenant, const WindowSlice& slice,
                         const CounterCall& call) {
    context.emit(AddToCounter{formatSliceKey({tenant.id, slice.index()}), call.amount(),
                              counterNameLifetime(estimator_.planOf(tenant))});
}

CounterLedger::ReplyResult CounterLedger::onReply(EventContext& context, const CounterReplied& reply) {
    const SliceKey key = parseSliceKey(reply.name);
    ReplyResult result;
    result.ok = reply.outcome == Outcome::ok;
    result.tenant = key.tenant;
    sampler_.recordReply(reply, context.now);
    Tenant* tenant = tenants_.find(key.tenant);
    WindowSlice* slice = tenant == nullptr ? nullptr : findSlice(*tenant, key.index);
    if (slice == nullptr || !slice->hasCallInFlight()) return result;
    result.slicePosition = static_cast<std::size_t>(slice - tenant->slices.data());
    const CounterCall call = slice->endOldestCall();
    result.reader = call.reader();
    if (!isLikelyCounted(reply.outcome)) slice->rollBack(call);
    if (result.ok) applyTotal(*tenant, *slice, call, reply.total, context.now);
    if (result.ok && call.reader() != RequestKey::none) carryDebt(context, *tenant, *slice);
    Request* request = requests_.find(call.request());
    if (call.admission() == Admission::pending && request != nullptr) {
        result.chargedRequest = call.request();
        recordChargeReply(*request, reply.outcome);
        if (result.ok) readClosedSlice(context, *tenant, call, *request, reply);
    }
    return result;
}

void CounterLedger::scheduleFlushAfterReply(EventContext& context, const ReplyResult& result) {
    Tenant* tenant = tenants_.find(result.tenant);
    if (tenant == nullptr || !result.slicePosition || !result.ok) return;
    if (*result.slicePosition >= tenant->slices.size()) return;
    WindowSlice& slice = tenant->slices[*result.slicePosition];
    if (slice.hasPendingAmounts()) scheduleFlush(context, *tenant, slice);
}

void CounterLedger::applyTotal(Tenant& tenant, WindowSlice& slice, const CounterCall& call, double total,
                               TimePoint now) {
    const QuotaPlan& plan = estimator_.planOf(tenant);
    const double lost = lostCost(plan, call, total);
    // The other gateways are assumed to have admitted cost without posting it, as this gateway has.
    const double remote = estimator_.estimatedRemoteUsage(tenant, call.carriedUnconfirmedCost());
    slice.applyTotal(call, {.sum = total, .lost = lost, .estimatedRemote = remote, .reportedAt = now});
    tenant.usage.recordTotal(now);
    if (plan.ceilingRate > 0 && lost <= 0 && window_.isWithinQuota(tenant, slice, now))
        ceiling_.refundConfirmed(tenant, plan, call.unconfirmedCost());
}

// A total below the cost that this gateway has posted shows that the counter lost counts. With
// reconciliation, the threshold is higher: other gateways may post refunds for charges to earlier slices, so
// that a total can be below this gateway's posted cost although no count was lost.
double CounterLedger::lostCost(const QuotaPlan& plan, const CounterCall& call, double total) const {
    const double shortage = call.cumulativePosted() - total;
    const double minLost = settings_.reconciliationEnabled
                               ? std::max(settings_.maxRequestCost, kMinLostBurstShare * plan.burst)
                               : kMinLostCost;
    return shortage < minLost ? 0 : shortage;
}

// The request whose call was the first to a slice also waits for a read of the preceding, closed slice, so
// that one gateway carries that slice's debt forward.
void CounterLedger::readClosedSlice(EventContext& context, Tenant& tenant, const CounterCall& call,
                                    Request& request, const CounterReplied& reply) {
    WindowSlice* closed = findSlice(tenant, previousSlice(request.charge.sliceIndex));
    if (closed == nullptr || !shouldReadClosedSlice(tenant, *closed, context.now)) return;
    const bool isFirstCallToSlice =
        call.cumulativePosted() == call.charge() && reply.total <= call.charge() + kFirstCallMargin;
    if (!isFirstCallToSlice) return;
    post(context, tenant, *closed, closed->beginReadCall(request.key));
    ++request.charge.pendingReplies;
}

// A closed slice with low known usage is not read from a congested counter.
bool CounterLedger::shouldReadClosedSlice(const Tenant& tenant, const WindowSlice& closed,
                                          TimePoint now) const {
    return !sampler_.isCongested() || window_.quotaUtilization(tenant, closed, now) > kDebtReadUtilization;
}

void CounterLedger::carryDebt(EventContext& context, Tenant& tenant, const WindowSlice& closed) {
    WindowSlice* next = findSlice(tenant, nextSlice(closed.index()));
    if (next == nullptr || next->hasCarriedDebt()) return;
    const double total = closed.total() + window_.costSinceTotal(tenant, closed) + closed.expiredQuota();
    const double debt = QuotaWindow::debtOf(estimator_.planOf(tenant), total);
    next->carryDebt(debt);
    if (debt > 0) post(context, tenant, *next, next->beginFlushCall());
}

// ---- Admissions, refunds and reconciliations --------------------------------------------------------

void CounterLedger::recordAdmitted(const Tenant& tenant, WindowSlice& slice, const Request& request) {
    const double cost = request.arrival.cost;
    slice.recordAdmitted(request.key, request.charge, cost);
    if (!request.charge.confirmed) slice.addUnconfirmedCost(estimateUnconfirmedCost(tenant, cost));
}

void CounterLedger::refundRejected(EventContext& context, const Request& request, WindowSlice* slice) {
    if (slice == nullptr) return;
    const bool refunded = slice->refundRejected(request.key, request.charge);
    if (refunded) flush(context, {request.arrival.tenant, slice->index()});
}

void CounterLedger::refundUnsent(EventContext& context, const Request& request) {
    Tenant* tenant = tenants_.find(request.arrival.tenant);
    if (settings_.plans.empty() || tenant == nullptr) return;
    const QuotaCharge& charge = request.charge;
    const double cost = request.arrival.cost;
    WindowSlice* slice = findSlice(*tenant, charge.sliceIndex);
    if (slice != nullptr && !charge.coveredBySamples) {
        slice->refundAdmitted(charge, cost);
        if (!charge.confirmed) slice->addUnconfirmedCost(estimateUnconfirmedCost(*tenant, -cost));
        scheduleFlush(context, *tenant, *slice);
    }
    if (charge.consumedCeilingTokens) CeilingBucket::refundUnsent(*tenant, cost);
}

void CounterLedger::reconcile(EventContext& context, Tenant& tenant, const Request& request,
                              double difference) {
    const bool hasChangedPlan = tenant.plan != request.arrival.plan;
    if (hasChangedPlan || estimator_.planOf(tenant).rate <= 0 || difference == 0) return;
    WindowSlice& current = window_.advance(tenant, context.now);
    current.reconcile(difference);
    scheduleFlush(context, tenant, current);
}

UnconfirmedCost CounterLedger::estimateUnconfirmedCost(const Tenant& tenant, double cost) const {
    return {.local = cost, .estimatedRemote = estimator_.estimatedRemoteUsage(tenant, cost)};
}

// ---- Flushes ----------------------------------------------------------------------------------------

void CounterLedger::scheduleFlush(EventContext& context, const Tenant& tenant, WindowSlice& slice) {
    if (slice.isFlushScheduled() || !settings_.counterEnabled) return;
    slice.setFlushScheduled(true);
    const double delay = kFlushDelaySliceShare * sliceSeconds(estimator_.planOf(tenant));
    context.setTimer(FlushDue{{tenant.id, slice.index()}}, fromSeconds(delay));
}

void CounterLedger::flush(EventContext& context, const SliceKey& key) {
    Tenant* tenant = tenants_.find(key.tenant);
    WindowSlice* slice = tenant == nullptr ? nullptr : findSlice(*tenant, key.index);
    if (slice == nullptr) return;
    slice->setFlushScheduled(false);
    // While the counter is unavailable, the amounts stay pending until the next call for the slice.
    if (!slice->hasPendingAmounts() || sampler_.isUnavailable()) return;
    if (shouldSamplePendingCharge(*tenant, *slice)) {
        const bool sampled = samplePendingCharge(context, *slice);
        if (!sampled) return;
    }
    const bool shouldPost = sampler_.shouldCallNow(context.random);
    if (shouldPost)
        post(context, *tenant, *slice, slice->beginFlushCall());
    else
        scheduleFlush(context, *tenant, *slice);
}

// With low local traffic, the pending charge, for example a reconciliation, often needs a flush because no
// call for another request carries it. A congested counter can't process a call for each of these charges, so
// only a sample of them is posted.
bool CounterLedger::shouldSamplePendingCharge(const Tenant& tenant, const WindowSlice& slice) const {
    return sampler_.isCongested() && slice.pendingRefund() == 0 && estimator_.reliesOnMeter(tenant);
}

// Weights the pending charge and returns true if it is sampled; otherwise drops it and returns false. On
// average, the posted amount equals the pending charge.
bool CounterLedger::samplePendingCharge(EventContext& context, WindowSlice& slice) {
    const double probability = sampler_.pendingChargeProbability();
    const bool sampled = context.random.next() < probability;
    if (sampled)
        slice.weightPendingCharge(probability);
    else
        slice.dropPendingCharge();
    return sampled;
}

}  // namespace gateway
