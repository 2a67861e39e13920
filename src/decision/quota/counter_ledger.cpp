#include "decision/quota/counter_ledger.h"

#include <algorithm>
#include <utility>

#include "decision/common/arithmetic.h"
#include "decision/quota/slice_key.h"

namespace gateway {
namespace {

constexpr double kFlushDelay = 0.1;  // of a slice, before pending cost goes out without a next add
// From where a sum's shortage is a loss: of a burst, with reconciliation; in cost, without.
constexpr double kMinLostBurst = 0.5;
constexpr double kMinLostCost = 0.5;
constexpr double kDebtReadUse = 0.5;    // quota use from which a closed slice is read of a crowded counter
constexpr double kOpeningMargin = 0.5;  // cost by which the sum of the add that opens a slice may differ

// An add without a reply, or with one that can't be read, was most likely counted: a crowded counter works on
// calls that nobody waits for. Posting it again would shut out a tenant that has room; if it was lost, the
// next sum falls short of what was posted.
bool wasCounted(Outcome outcome) {
    return outcome == Outcome::ok || outcome == Outcome::timedOut || outcome == Outcome::reset;
}

}  // namespace

void CounterLedger::postCharge(EventContext& context, Tenant& tenant, WindowSlice& slice,
                               Request& request) const {
    CounterCall call;
    call.request = request.key;
    call.charge = request.charge.amount;
    ++request.charge.pendingReplies;
    slice.hasOwnCalls = true;
    post(context, tenant, slice, std::move(call));
}

CounterCall& CounterLedger::post(EventContext& context, const Tenant& tenant, WindowSlice& slice,
                                 CounterCall call) const {
    CounterCall& begun = slice.beginCall(std::move(call));
    context.act(AddToCounter{formatSliceKey({tenant.id, slice.index}), begun.amount,
                             counterNameLifetime(parts_.usage.planOf(tenant))});
    return begun;
}

CounterLedger::ReplyResult CounterLedger::onReply(EventContext& context, const CounterReplied& reply) const {
    const SliceKey key = parseSliceKey(reply.name);
    ReplyResult result;
    result.ok = reply.outcome == Outcome::ok;
    result.tenant = key.tenant;
    parts_.sampler.observe(reply, context.now);
    Tenant* tenant = parts_.tenants.find(key.tenant);
    WindowSlice* slice = tenant == nullptr ? nullptr : findSlice(*tenant, key.index);
    if (slice == nullptr || slice->calls.empty()) return result;
    result.slicePosition = static_cast<std::size_t>(slice - tenant->slices.data());
    CounterCall call = std::move(slice->calls.front());
    slice->calls.pop_front();
    if (!wasCounted(reply.outcome)) slice->withdraw(call);
    if (result.ok) applyTotal(context, *tenant, *slice, call, reply.total);
    if (result.ok && !call.readers.empty()) carryDebt(context, *tenant, *slice);
    Request* request = parts_.requests.find(call.request);
    if (call.admission == Admission::pending && request != nullptr) {
        confirmCharge(context, *tenant, call, *request, reply, key.index);
        result.charged = call.request;
    }
    result.readers = std::move(call.readers);
    return result;
}

void CounterLedger::afterReply(EventContext& context, const ReplyResult& result) const {
    Tenant* tenant = parts_.tenants.find(result.tenant);
    if (tenant == nullptr || !result.slicePosition || !result.ok) return;
    if (*result.slicePosition >= tenant->slices.size()) return;
    WindowSlice& slice = tenant->slices[*result.slicePosition];
    if (slice.hasPending()) scheduleFlush(context, *tenant, slice);
}

void CounterLedger::applyTotal(EventContext& context, Tenant& tenant, WindowSlice& slice,
                               const CounterCall& call, double total) const {
    const QuotaPlan& plan = parts_.usage.planOf(tenant);
    const double lost = lostCost(plan, call, total);
    slice.applyTotal(call, total + lost, context.now);
    slice.repost(lost);
    tenant.usage.totalAt = context.now;
    // The others have admitted meanwhile what they did not post yet, as this gateway had.
    slice.othersSince = parts_.usage.othersWhile(tenant, call.carriedUnverified);
    const double burst = std::max(plan.burst, parts_.settings.maxRequestCost);
    const double most = burst + plan.rate * sliceSeconds(plan);
    const double age = sliceAgeSeconds(tenant.id, plan, slice.index, context.now);
    const double full = std::min(most, most + plan.rate * (age - sliceSeconds(plan))) - slice.forfeited;
    if (plan.ceilingRate > 0 && lost <= 0 && slice.total <= full)
        parts_.ceiling.giveBack(tenant, plan, call.unverified);
}

// Counts were lost (the counter came back empty): what this gateway had posted goes in again. With
// reconciliation others' refunds lower a sum too, so there it takes more than those explain.
double CounterLedger::lostCost(const QuotaPlan& plan, const CounterCall& call, double total) const {
    const double lost = call.postedSoFar - total;
    const double least = parts_.settings.reconciliationEnabled
                             ? std::max(parts_.settings.maxRequestCost, kMinLostBurst * plan.burst)
                             : kMinLostCost;
    return lost < least ? 0 : lost;
}

void CounterLedger::confirmCharge(EventContext& context, Tenant& tenant, const CounterCall& call,
                                  Request& request, const CounterReplied& reply,
                                  SliceIndex sliceIndex) const {
    const bool ok = reply.outcome == Outcome::ok;
    QuotaCharge& charge = request.charge;
    charge.posted = wasCounted(reply.outcome);
    if (!charge.posted) charge.amount = request.arrival.cost;  // it stands for no other then
    charge.confirmed = ok;
    // The one whose add opened the slice reads the closed one before it and carries its debt over.
    WindowSlice* closed = findSlice(tenant, previousSlice(sliceIndex));
    if (!ok || closed == nullptr || !mayCarryDebt(tenant, *closed, context.now)) return;
    const bool openedSlice = call.postedSoFar == call.charge && reply.total <= call.charge + kOpeningMargin;
    if (!openedSlice) return;
    post(context, tenant, *closed, {}).readers.push_back(request.key);
    ++charge.pendingReplies;
}

// A crowded counter isn't asked for a closed slice that was far from full as far as is known here.
bool CounterLedger::mayCarryDebt(const Tenant& tenant, const WindowSlice& closed, TimePoint now) const {
    return !parts_.sampler.isCrowded() || parts_.window.quotaUse(tenant, closed, now) > kDebtReadUse;
}

void CounterLedger::carryDebt(EventContext& context, Tenant& tenant, const WindowSlice& closed) const {
    WindowSlice* next = findSlice(tenant, nextSlice(closed.index));
    if (next == nullptr || next->debtCarried) return;
    next->debtCarried = true;
    const double sum = closed.total + parts_.window.unsummedCost(tenant, closed) + closed.forfeited;
    const double debt = debtOf(parts_.usage.planOf(tenant), sum);
    if (debt <= 0) return;
    next->total += debt;
    next->pendingCharge += debt;
    post(context, tenant, *next, {});
}

void CounterLedger::bookAdmitted(const Tenant& tenant, WindowSlice& slice, const Request& request,
                                 bool unconfirmed) const {
    const double cost = request.arrival.cost;
    slice.ownAdmitted += cost;
    CounterCall* call = slice.resolveCall(request.key, Admission::admitted);
    if (call != nullptr) {
        if (unconfirmed) call->unverified += cost;
    } else if (!request.charge.posted && !request.charge.coveredBySamples) {
        slice.pendingCharge += cost;
        if (unconfirmed) slice.pendingUnverified += cost;
    }
    if (!request.charge.confirmed) parts_.window.noteUnconfirmed(tenant, slice, cost);
}

void CounterLedger::refundRejected(EventContext& context, const Request& request, WindowSlice* slice) const {
    if (slice == nullptr) return;
    const bool inFlight = slice->resolveCall(request.key, Admission::rejected) != nullptr;
    if (!inFlight && !request.charge.posted) return;
    slice->addRefund(request.charge.amount, request.charge.confirmed);
    flush(context, {request.arrival.tenant, slice->index});
}

void CounterLedger::refundUnsent(EventContext& context, const Request& request) const {
    Tenant* tenant = parts_.tenants.find(request.arrival.tenant);
    if (parts_.settings.plans.empty() || tenant == nullptr) return;
    const QuotaCharge& charge = request.charge;
    const double cost = request.arrival.cost;
    WindowSlice* slice = findSlice(*tenant, charge.sliceIndex);
    if (slice != nullptr && !charge.coveredBySamples) {
        slice->ownAdmitted -= cost;
        slice->addRefund(request.charge.amount, request.charge.confirmed);
        if (!charge.confirmed && !charge.posted)
            slice->pendingUnverified = std::max(0.0, slice->pendingUnverified - cost);
        if (!charge.confirmed) parts_.window.noteUnconfirmed(*tenant, *slice, -cost);
        scheduleFlush(context, *tenant, *slice);
    }
    if (charge.fromCeiling) tenant->ceiling.tokens += cost;
}

void CounterLedger::reconcile(EventContext& context, Tenant& tenant, const Request& request,
                              double difference) const {
    const QuotaPlan& plan = parts_.usage.planOf(tenant);
    if (tenant.plan != request.arrival.plan || plan.rate <= 0 || difference == 0) return;
    WindowSlice& current = parts_.window.advance(tenant, context.now);
    current.ownAdmitted += difference;
    current.pendingCharge += difference;
    current.admittedSince += difference;
    scheduleFlush(context, tenant, current);
}

void CounterLedger::scheduleFlush(EventContext& context, const Tenant& tenant, WindowSlice& slice) const {
    if (slice.flushScheduled || !parts_.settings.counterEnabled) return;
    slice.flushScheduled = true;
    const double delay = kFlushDelay * sliceSeconds(parts_.usage.planOf(tenant));
    context.setTimer(FlushDue{{tenant.id, slice.index}}, fromSeconds(delay));
}

void CounterLedger::flush(EventContext& context, const SliceKey& key) const {
    Tenant* tenant = parts_.tenants.find(key.tenant);
    WindowSlice* slice = tenant == nullptr ? nullptr : findSlice(*tenant, key.index);
    if (slice == nullptr) return;
    slice->flushScheduled = false;
    // While the counter is silent the next add carries it.
    if (!slice->hasPending() || parts_.sampler.isSilent()) return;
    if (isDroppedBySampling(context, *tenant, *slice)) return;
    if (parts_.sampler.drawCall(context.random)) {
        post(context, *tenant, *slice, {});
        return;
    }
    scheduleFlush(context, *tenant, *slice);  // crowded: later, with what has come up until then
}

// A crowded counter can't take a call for every reconciliation where no next add comes that could carry it:
// one in some goes out and stands for the others, so that in sum the true cost is reconciled.
bool CounterLedger::isDroppedBySampling(EventContext& context, const Tenant& tenant,
                                        WindowSlice& slice) const {
    if (!parts_.sampler.isCrowded() || slice.pendingRefund != 0) return false;
    if (!parts_.usage.reliesOnMeter(tenant)) return false;
    const double probability = parts_.sampler.reconciliationProbability();
    const bool dropped = context.random.next() >= probability;
    slice.pendingCharge = dropped ? 0 : slice.pendingCharge / probability;
    return dropped;
}

}  // namespace gateway
