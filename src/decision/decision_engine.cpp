// The decision module of gateway: everything that is decided is decided here.
// Its interface (settings, events, actions) is include/gateway/gateway.h.
//
// The ordinary path of a request is the thesis's sliding window of slice counts with post-request
// weight correction; docs/design.md tells what was kept and changed, and when each exception acts.
#include "gateway/decision_engine.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <stdexcept>
#include <unordered_map>
#include <utility>

#include "decision/arithmetic.h"
#include "decision/slice_name.h"
#include "decision/state.h"

namespace gateway {
namespace {

// ---- Tuned values ---------------------------------------------------------------------------------

constexpr double kCountWait = 0.1;    // share of the aim that a request waits for the counter at most
constexpr double kLeastChance = 0.3;  // share of a class's usual time without which a try is hopeless
constexpr double kFlushAfter = 0.1;   // share of a slice before a settlement goes out without a next add
constexpr double kCountLeast = 0.1;   // least share of requests that still ask a failing counter
constexpr double kStandFor = 2;       // what the add of a rare tenant's request stands for at most, itself in
constexpr double kAskLeast = 0.1;     // least share of its quota that a tenant is taken to ask for
constexpr double kAskAgain = 0.1;     // share of a slice before which a tenant's next answer is worth less
constexpr double kAskSmooth = 0.02;   // weight of a new answer in their mean worth, and share without room
constexpr double kReadFrom = 0.5;  // fill of a closed slice from which its sum is read from a crowded counter
constexpr double kThinShare = 0.1;     // share of a tenant's requests under which its own tell nothing of it
constexpr double kThinStandFor = 8;    // what an add of such a tenant stands for at most, itself in
constexpr double kUseStart = 0.9;      // what a tenant is taken to use of its quota before the meter told
constexpr double kUsePower = 4;        // how steeply unasked ones are let in less as the use nears the quota
constexpr double kUseMargin = 0.25;    // of the quota: from so far under it, where one too many earns nothing
constexpr double kSettleLeast = 0.25;  // least chance that a settlement of a rare tenant is posted
constexpr double kCountRise = 0.01;    // what a quick answer adds to that share
constexpr double kCountRegain = 0.05;  // what it adds for each second since the answer before
constexpr double kCountCut = 0.75;     // factor on it when a call fails
constexpr double kCountEase = 0.97;    // factor on it when an answer is slow
constexpr double kCountSlow = 0.3;     // slow: this far from the quickest answer's time to the time-out
constexpr int kCountSilent = 4;        // calls failed in a row from which nobody waits for an answer
constexpr double kLostLeast = 0.5;     // of a burst: with settlement, from where a sum's shortage is a loss
constexpr double kShareMemory = 0.5;   // what is kept of the observed share at each closed slice
constexpr double kSmooth = 0.15;       // weight of a new sample in running means of latency and errors
constexpr double kReportWeight = 0.3;  // weight of a new load report of an endpoint
constexpr double kForget = 3;          // s after which an endpoint's unconfirmed slowness is mostly forgotten
constexpr double kEjectAt = 0.3;       // running error share at which an endpoint is put aside
constexpr double kEjectFirst = 1;      // s put aside at first; doubles with each relapse
constexpr double kEjectLongest = 8;    // s put aside at most
constexpr double kEjectMost = 0.5;     // share of the listed endpoints that may be aside at a time
constexpr double kLimitStart = 16;     // attempts out at one endpoint, over all gateways, at the start
constexpr double kLimitFew = 10;       // gateways past which that start is lower
constexpr double kLimitServed = 5;     // but no lower than this: an endpoint serves so many without a queue
constexpr double kLimitCut = 0.8;      // factor on that limit when an answer is slow
constexpr double kLimitFirst = 2;      // attempts out that this gateway is allowed at first, at least
constexpr double kLimitLeast = 0.1;    // the same later on; under one attempt it is drawn by chance
constexpr double kSlowShare = 0.1;     // share of slow answers that the limit on attempts out settles at
constexpr double kSlowSmooth = 0.05;   // weight of a new answer in the share of slow ones
constexpr double kSlowAnswer = 0.6;    // share of the aim from which an answer counts as slow
constexpr double kRetryEarned = 0.2;   // further attempts earned by each first one
constexpr double kRetryStore = 10;     // further attempts that may be saved up
constexpr double kSubsetLeast = 8;     // endpoints that one of many gateways uses at least
constexpr double kSubsetSharers = 10;  // gateways that each endpoint is used by at least
constexpr double kForeignZone = 0.1;   // how much worse an endpoint in another zone is taken to be
constexpr double kColdSafety = 0.9;    // share of the tipping multiple used on a cold endpoint
constexpr double kColdReserve = 1.25;  // with little traffic that share is less by this factor at least
constexpr double kColdStore = 1.5;     // attempts at a cold endpoint that each gateway may save up
constexpr double kColdAsked = 0.5;     // what a request counts that finds no endpoint, as if that were served
constexpr Duration kSubsetAge = std::chrono::seconds(1);     // after which the subset is drawn anew
constexpr Duration kLongestName = std::chrono::seconds(60);  // the counter keeps no name for longer

}  // namespace

class DecisionEngine::Decisions {
public:
    Decisions(Settings settings, std::uint64_t seed) : s_(std::move(settings)), random_(seed) {
        if (const auto problem = findSettingsProblem(s_)) throw std::invalid_argument(*problem);
        classLatency_.assign(s_.classes.size(), 0);
        refused_.assign(s_.plans.size(), 0);
        classSamples_.assign(s_.classes.size(), 0);
    }

    void handle(Time now, const Event& event, Actions& actions) {
        now_ = now;
        actions_ = &actions;
        if (!startedAt_) startedAt_ = heardAt_ = now;
        std::visit([this](const auto& e) { on(e); }, event);
    }

private:
    // ---- The list of endpoints ----------------------------------------------------------------------

    void on(const EndpointUpdate& list) {
        if (list.kind == UpdateKind::failed)
            return setTimer({TimerKind::discovery, {}, 0},
                            std::max(s_.maxPollInterval / 8, Duration(200'000)));
        if (s_.discovery == DiscoveryMode::poll && !std::exchange(asked_, true)) act(WatchEndpoints{});
        if (list.kind != UpdateKind::delta)
            for (Endpoint& w : endpoints_) {  // what a full list lacks is gone
                w.usable = false;
                w.entry.availability = Availability::removed;
            }
        for (const EndpointEntry& e : list.entries) {
            Endpoint& w = endpoints_[slotOf(e.endpoint)];
            if (e.startedAt > w.entry.startedAt) {  // a new process: what was known of the old one is void
                w.out = std::exchange(w, Endpoint{}).out;
                w.limit = startLimit();
                w.credit = dealtPart(e.endpoint, e.startedAt, s_.gatewayIndex);
                w.earnedAt = earned_;
            }
            w.entry = e;
            w.usable = e.availability == Availability::up;
        }
        freeSlots();
        drawSubset();
        const double endpoints = static_cast<double>(workerIndex_.size());
        if (limit_ <= 0) limit_ = std::max(kLimitFirst, startShare() * endpoints);
    }

    std::size_t slotOf(const EndpointId& name) {
        const std::size_t next = freeSlots_.empty() ? endpoints_.size() : freeSlots_.back();
        const auto [it, added] = workerIndex_.try_emplace(name, next);
        if (!added) return it->second;
        if (next == endpoints_.size())
            endpoints_.emplace_back();
        else
            freeSlots_.pop_back();
        endpoints_[next].limit = startLimit();
        return next;
    }

    // Subsetting. Past ten gateways each uses a part of the endpoints: a connection costs an endpoint work
    // and room, a new one costs the request time, and of fewer endpoints each is heard of more often. The
    // parts are arcs of the sorted names, so that each endpoint is in as many as any other; cold and warm
    // ones have arcs of their own, so that each part has its share of both.
    void drawSubset() {
        subsetAt_ = now_;
        for (Endpoint& w : endpoints_)
            if (w.usable && coldShare(w) < 1) earn(w, coldShare(w));
        weight_ = capacity_ = 0;
        std::vector<Endpoint*> warm, cold;
        for (Endpoint& w : endpoints_) {
            const double share = coldShare(w);
            if (s_.gatewayCount > kLimitFew) w.part = 0;
            if (!w.usable) continue;
            weight_ += w.entry.weight;
            capacity_ += w.entry.weight * share;
            (share < 1 ? cold : warm).push_back(&w);
        }
        anyWarm_ = !warm.empty();
        if (s_.gatewayCount <= kLimitFew) return;
        const double onEndpointUpdate = static_cast<double>(warm.size() + cold.size());
        const double used = std::max(kSubsetLeast, onEndpointUpdate * kSubsetSharers / s_.gatewayCount);
        drawArc(warm, used / onEndpointUpdate);
        drawArc(cold, used / onEndpointUpdate);
    }

    void drawArc(std::vector<Endpoint*>& ring, double part) const {
        if (ring.empty()) return;
        std::sort(ring.begin(), ring.end(),
                  [](const Endpoint* a, const Endpoint* b) { return a->entry.endpoint < b->entry.endpoint; });
        const double size = static_cast<double>(ring.size());
        const std::size_t arc = static_cast<std::size_t>(std::min(size, std::ceil(size * part)));
        const std::size_t from = static_cast<std::size_t>(size * s_.gatewayIndex / s_.gatewayCount);
        for (std::size_t i = 0; i < arc; ++i)
            ring[(from + i) % ring.size()]->part = static_cast<double>(arc) / size;
    }

    // Endpoints that are gone leave their slots once no attempt is out there: in a fleet that is replaced all
    // day they would be walked for every choice.
    void freeSlots() {
        std::erase_if(workerIndex_, [&](const auto& named) {
            Endpoint& w = endpoints_[named.second];
            if (w.entry.availability != Availability::removed || w.out > 0) return false;
            w = Endpoint{};
            freeSlots_.push_back(named.second);
            return true;
        });
    }

    // ---- Requests and their quota -----------------------------------------------------------------

    void on(const RequestArrived& told) {
        const std::uint64_t id = nextRequest_++;
        ids_[told.request] = id;
        Request& r = requests_[id];
        r.told = told;
        r.arrivedAt = now_;
        // A client about to leave cannot be served; asking the counter for it would only outlast it.
        if (seconds(told.deadline - now_) < kLeastChance * workOf(r))
            return finishUnserved(id, r, Duration{});
        const QuotaPlan* plan = planOf(told);
        if (plan == nullptr) return dispatch(id, r);
        Tenant& c = tenant(told);
        if (plan->rate <= 0) return decide(id, r);
        Slice& current = roll(c, *plan);
        r.slice = current.index;
        r.charge = told.cost;
        if (knownFull(c, *plan, told.cost)) return finishUnserved(id, r, untilRoom(c, *plan, told.cost));
        if (!s_.counterEnabled) return decide(id, r);
        // A crowded counter is asked less: a frequent tenant's next add carries what is let in meanwhile, a
        // rare one's asked adds stand for the others.
        const bool rare = !current.poll_ && !counterSilent();
        noteDemand(c, *plan, told.cost);
        const double ask = askChance(c, *plan, current);
        if (ask < 1 && chance() >= ask) {
            r.stoodFor = rare;
            return decide(id, r);
        }
        if (rare) r.charge = told.cost * std::min(isSeldom(c, *plan) ? kThinStandFor : kStandFor, 1 / ask);
        current.poll_ = true;
        post(c, told.tenant, current, id, r.charge);
        // A counter that mostly fails is asked to notice its return, but nobody waits for it.
        if (counterSilent()) return decide(id, r);
        const Duration most = std::min(s_.counterTimeout, (told.deadline - now_) / 2);
        setTimer({TimerKind::countWait, id, 0}, std::min(most, fromSeconds(seconds(aimOf(r)) * kCountWait)));
    }

    void on(const CounterReplied& answer) {
        const auto [tenantId, index] = parseSliceName(answer.name);
        const auto found = tenants_.find(tenantId);
        noteCounter(answer);
        Slice* slice = found == tenants_.end() ? nullptr : findSlice(found->second, index);
        if (slice == nullptr || slice->calls.empty()) return;
        Tenant& c = found->second;
        const Call call = std::move(slice->calls.front());
        slice->calls.pop_front();
        const bool ok = answer.outcome == Outcome::ok;
        // An add without an answer, or with one that can't be read, was most likely counted: a crowded
        // counter works on calls that nobody waits for. Posting it again would shut out a tenant that has
        // room; if it was lost, the next sum falls short of what was posted.
        const bool counted = ok || answer.outcome == Outcome::timedOut || answer.outcome == Outcome::reset;
        const auto asking = requests_.find(call.request);
        if (!counted) {
            slice->posted -= call.amount;
            slice->oweAdmitted += call.admitted;
            slice->oweBack += call.takenBack;
            slice->taken -= call.takenBack;
            for (Call& later : slice->calls) {
                later.postedSoFar -= call.amount;
                later.takenSoFar -= call.takenBack;
            }
        }
        if (ok) {
            // Counts were lost (the counter came back empty): what this gateway had posted goes in again.
            // With settlement others' refunds lower a sum too, so there it takes more than those explain.
            const QuotaPlan& plan = s_.plans[static_cast<std::size_t>(c.plan)];
            double lost = call.postedSoFar - answer.total;
            if (lost <
                (s_.reconciliationEnabled ? std::max(s_.maxRequestCost, kLostLeast * plan.burst) : 0.5))
                lost = 0;
            slice->since = slice->oweAdmitted;
            for (const Call& later : slice->calls)  // let in, and in no sum yet
                slice->since += later.admitted + (later.fate == Fate::admitted ? later.cost : 0);
            slice->oweAdmitted += lost;
            slice->posted -= lost;
            for (Call& later : slice->calls) later.postedSoFar -= lost;
            slice->total = answer.total + lost - (slice->refused - call.takenSoFar);
            slice->known = true;
            c.heardAt = now_;
            // The others have let in meanwhile what they did not post yet, as this gateway had.
            slice->others = othersFor(c, plan, call.carried);
            slice->heardAt = now_;
            const double most = std::max(plan.burst, s_.maxRequestCost) + plan.rate * sliceOf(plan);
            const double age = seconds(now_) - startOf(tenantId, plan, index);
            const double full = std::min(most, most + plan.rate * (age - sliceOf(plan))) - slice->unused;
            if (plan.ceilingRate > 0 && lost <= 0 && slice->total <= full)
                c.guard = std::min(guardStore(c, plan), c.guard + call.blind);
        }
        // Decided before the answer, the units were booked as charged: put right what did not count.
        if (!counted && call.fate == Fate::admitted) slice->oweAdmitted += call.cost;
        if (!counted && call.fate == Fate::refused) {
            slice->oweBack -= call.cost;
            slice->refused -= call.cost;
        }
        if (call.fate == Fate::open && asking != requests_.end()) {
            Request& r = asking->second;
            r.charged = counted;
            if (!counted) r.charge = r.told.cost;  // it stands for nobody then
            r.answered = ok;
            // The one whose add opened the slice reads the closed one before it and carries its debt over.
            Slice* old = findSlice(c, index - 1);
            if (ok && old != nullptr && mayOwe(c, *planOf(r.told), *old) && call.postedSoFar == call.cost &&
                answer.total <= call.cost + 0.5) {
                post(c, tenantId, *old, 0, 0);
                old->calls.back().readers.push_back(call.request);
                ++r.awaited;
            }
            onRequest(call.request, r, !ok);
        }
        if (ok && !call.readers.empty()) carryDebt(tenantId, c, *slice);
        for (const std::uint64_t reader : call.readers)
            if (const auto it = requests_.find(reader); it != requests_.end() && !it->second.decided)
                onRequest(reader, it->second, !ok);
        if (ok && (slice->oweAdmitted != 0 || slice->oweBack != 0)) setFlush(tenantId, *slice, c);
    }

    double debtOf(const QuotaPlan& plan, double sum) const {
        return std::max(0.0, sum - plan.rate * sliceOf(plan));
    }

    // A crowded counter isn't asked for a closed slice that was far from full as far as is known here.
    bool mayOwe(const Tenant& c, const QuotaPlan& plan, const Slice& old) const {
        return countShare_ >= 1 || nearness(c, plan, old) > kReadFrom;
    }

    // What the tenant takes of its quota, by what it asks for here and by the slice's sum.
    double nearness(const Tenant& c, const QuotaPlan& plan, const Slice& slice) const {
        if (isThin(c, plan)) return c.use;
        return std::max(c.demand / (shareOf(c, plan) * plan.rate),
                        sumOf(c, plan, slice) / (plan.rate * sliceOf(plan)));
    }

    void carryDebt(TenantId id, Tenant& c, const Slice& old) {
        const QuotaPlan& plan = s_.plans[static_cast<std::size_t>(c.plan)];
        Slice* next = findSlice(c, old.index + 1);
        if (next == nullptr || next->carried) return;
        next->carried = true;
        const double debt = debtOf(plan, old.total + unseenIn(c, plan, old) + old.unused);
        if (debt <= 0) return;
        next->total += debt;
        next->oweAdmitted += debt;
        post(c, id, *next, 0, 0);
    }

    // What is in no sum yet. Among many gateways only own units: each would post its guess of the others.
    double unseenIn(const Tenant& c, const QuotaPlan& plan, const Slice& slice) const {
        return slice.since + (isThin(c, plan) ? 0 : slice.others);
    }

    void onRequest(std::uint64_t id, Request& r, bool failed) {
        --r.awaited;
        if (r.awaited <= 0 || failed) decide(id, r);
    }

    // With many entry points a tenant is seen here so seldom that its own requests tell next to nothing of
    // what it asks for in all: the meter in the answers does.
    bool isThin(const Tenant& c, const QuotaPlan& plan) const {
        return s_.usageMeterPeriod > Duration{} && isSeldom(c, plan);
    }
    bool isSeldom(const Tenant& c, const QuotaPlan& plan) const { return shareOf(c, plan) < kThinShare; }

    // The window test: from the counter's answer where there is one, else from the last known sums and
    // what this gateway's observed share makes of its own traffic since.
    void decide(std::uint64_t id, Request& r) {
        r.decided = true;
        const QuotaPlan& plan = *planOf(r.told);
        Tenant& c = tenant(r.told);
        const double cost = r.told.cost;
        bool within = true;
        Slice* slice = nullptr;
        if (plan.rate > 0) {
            Slice& current = roll(c, plan);
            slice = findSlice(c, r.slice);
            if (slice == nullptr) slice = &current;
            const double counted = r.answered && slice->index == r.slice ? r.charge : 0;
            within = roomOf(id_, plan, *slice, sumOf(c, plan, *slice) - counted) >= cost - 1e-6;
            if (r.stoodFor && now_ < c.refusedAt + fromSeconds(sliceOf(plan))) within = false;
            if (r.answered) c.refusedAt = within ? Time{} : now_;
            double& refused = refused_[static_cast<std::size_t>(c.plan)];
            if (r.answered) refused = blend(refused, within ? 0 : 1, kAskSmooth);
            if (c.refusedAt == now_) c.use = std::max(c.use, 1.0);
        }
        if (within && !r.answered && isSeldom(c, plan)) within = chance() < unaskedShare(c, plan);
        if (plan.concurrency > 0)
            within = within && c.out < std::max(1.0, std::floor(plan.concurrency * shareOf(c, plan)));
        const bool blind = !r.answered || slice == nullptr;
        if (within && blind && plan.ceilingRate > 0) within = r.guarded = passGuard(c, plan, cost);
        if (!within) {
            takeBack(r, slice);
            return finishUnserved(id, r, untilRoom(c, plan, cost));
        }
        if (slice != nullptr) {
            slice->own += cost;
            Call* call = markFate(*slice, id, Fate::admitted);
            if (call == nullptr && !r.charged && !r.stoodFor) {
                slice->oweAdmitted += cost;
                if (blind) slice->oweBlind += cost;
            } else if (call != nullptr && blind) {
                call->blind += cost;
            }
            if (!r.answered) admitUnseen(c, plan, *slice, cost);
        }
        dispatch(id, r);
    }

    // What is let in unanswered of a tenant seldom seen. The meter shows what was sent on: one held to
    // its quota reads 1, so where one too many costs less goes before that. No meter: as others of its plan.
    double unaskedShare(const Tenant& c, const QuotaPlan& plan) const {
        const double loss = std::clamp(plan.overQuotaPenalty - plan.overQuotaWeight, 0.0, 1.0);
        if (s_.usageMeterPeriod <= Duration{}) return 1 - refused_[static_cast<std::size_t>(c.plan)] * loss;
        const double full = 1 - kUseMargin * loss;
        return std::pow(std::min(1.0, full / std::max(c.use, 1e-9)), kUsePower);
    }

    double startOf(TenantId id, const QuotaPlan& plan, std::int64_t index) const {
        return (static_cast<double>(index) - phase(id)) * sliceOf(plan);
    }

    // The window test: burst + rate x time since the slice began, less its sum. Room seen past the burst is
    // taken as lost, so an idle slice saves up no more; where few sums are seen a little more is let in.
    double roomOf(TenantId id, const QuotaPlan& plan, Slice& slice, double sum) const {
        const double most = std::max(plan.burst, s_.maxRequestCost);
        const double room = most + plan.rate * (seconds(now_) - startOf(id, plan, slice.index)) - sum;
        if (slice.known) slice.unused = std::max(slice.unused, room - most);
        return room - slice.unused;
    }

    // A tenant is refused without a call until the earliest moment at which the last sums leave room.
    // Keeps its charge, soon taken back, out of the sums that others see; room just given back is seen late.
    bool knownFull(Tenant& c, const QuotaPlan& plan, double cost) {
        Slice& current = c.slices.back();
        return current.total > 0 && roomOf(id_, plan, current, current.total) < cost - 1e-6;
    }

    // Notes what became of units whose add is still out; null if it is not.
    static Call* markFate(Slice& slice, std::uint64_t request, Fate fate) {
        for (Call& call : slice.calls) {
            if (call.request != request) continue;
            call.fate = fate;
            return &call;
        }
        return nullptr;
    }

    // Refused units must not fill the window: they go back at once, as others read the slice soon.
    void takeBack(Request& r, Slice* slice) {
        if (slice == nullptr) return;
        if (markFate(*slice, ids_[r.told.request], Fate::refused) == nullptr && !r.charged) return;
        giveBack(r, *slice);
        flush(r.told.tenant, slice->index);
    }
    static void giveBack(const Request& r, Slice& slice) {
        slice.oweBack += r.charge;
        slice.refused += r.charge;
        slice.total -= r.answered ? r.charge : 0;
    }

    // The ceiling. What is let in on the counter's answer stays within the quota, as the answer's sum has in
    // it what the others let in and posted. What is let in without one draws from this gateway's part of
    // what the ceiling allows beyond the quota, and gets it back once an answer shows it within the quota. So
    // all gateways together send at most quota + n x (ceiling - quota) / n, answered or not, however
    // unevenly the tenant comes. The store starts empty, as another life of this gateway may just have
    // spent it. When n changes it fills by the smaller part until the next request; a tenant forgotten here
    // was idle for twice the longest name and gets what that time fills at most.
    bool passGuard(Tenant& c, const QuotaPlan& plan, double cost) {
        const double part = 1.0 / c.entryPoints;
        const Time since = c.guardAt == Time{} ? std::max(*startedAt_, now_ - 2 * kLongestName) : c.guardAt;
        const double rate = plan.ceilingRate - (s_.counterEnabled ? plan.rate : 0);
        const double filled = seconds(now_ - since) * std::max(0.0, rate) * std::min(part, c.guardPart);
        c.guard = std::min(guardStore(c, plan), c.guard + filled);
        c.guardPart = part;
        c.guardAt = now_;
        if (c.guard < cost) return false;
        c.guard -= cost;
        return true;
    }
    double guardStore(const Tenant& c, const QuotaPlan& plan) const {
        if (!s_.counterEnabled) return plan.ceilingBurst / c.entryPoints;
        return std::max((plan.ceilingBurst - plan.burst) / c.entryPoints, s_.maxRequestCost);
    }

    double shareOf(const Tenant& c, const QuotaPlan& plan) const {
        const double prior = std::max({plan.burst + plan.rate * sliceOf(plan), s_.maxRequestCost, 1.0}) / 2;
        const double share = (c.ownSeen + prior / c.entryPoints) / (c.totalSeen + prior);
        return std::clamp(share, 0.5 / c.entryPoints, 1.0);
    }

    // What the others are taken to let in while this gateway lets in `units` unanswered; that is left out
    // as far as a try too many earns more than it costs.
    double othersFor(const Tenant& c, const QuotaPlan& plan, double cost) const {
        const double trust =
            s_.counterEnabled ? std::clamp(1 + 5 * (plan.overQuotaPenalty - plan.overQuotaWeight), 0.0, 1.0)
                              : 1.0;
        return cost * (1 / shareOf(c, plan) - 1) * trust;
    }
    void admitUnseen(const Tenant& c, const QuotaPlan& plan, Slice& slice, double cost) {
        slice.since += cost;
        slice.others += othersFor(c, plan, cost);
    }
    // The slice's sum by now. Many others are not taken to let in more than the plan's rate.
    double sumOf(const Tenant& c, const QuotaPlan& plan, const Slice& slice) const {
        if (!isThin(c, plan)) return slice.total + slice.since + slice.others;
        const double from = std::max(seconds(slice.heardAt), startOf(id_, plan, slice.index));
        const double most = plan.rate * std::max(0.0, seconds(now_) - from);
        return slice.total + slice.since + std::min(slice.others, most);
    }

    double sliceOf(const QuotaPlan& plan) const {
        return std::clamp(plan.burst / std::max(plan.rate, 1e-9), 0.1, seconds(kLongestName) / 3);
    }

    // Slices are aligned on the shared clock, each tenant's shifted by its number so that not all of a
    // plan's windows open at the same moment.
    double phase(TenantId id) const { return static_cast<double>(id * 2654435761u % 1024) / 1024; }
    std::int64_t indexAt(TenantId id, const QuotaPlan& plan) const {
        return static_cast<std::int64_t>(std::floor(seconds(now_) / sliceOf(plan) + phase(id)));
    }
    Tenant& tenant(const RequestArrived& told) {
        const auto [it, added] = tenants_.try_emplace(told.tenant);
        Tenant& c = it->second;
        if (!added && c.plan != told.plan) {  // another plan's slices have another length and other numbers
            const int out = c.out;
            c = Tenant{};
            c.out = out;
        }
        if (c.usedAt == Time{}) c.use = kUseStart;
        c.plan = told.plan;
        c.entryPoints = std::max(1, told.entryPoints);
        c.usedAt = now_;
        if (++sinceSweep_ > 5000) {
            sinceSweep_ = 0;
            std::erase_if(tenants_, [&](const auto& kv) {
                return kv.second.out == 0 && now_ - kv.second.usedAt > 2 * kLongestName;
            });
        }
        id_ = told.tenant;
        return c;
    }

    // Opens the current slice and drops those that have left the window.
    Slice& roll(Tenant& c, const QuotaPlan& plan) {
        const std::int64_t now = indexAt(id_, plan);
        while (!c.slices.empty() && c.slices.front().index < now - 1) {
            const Slice& old = c.slices.front();
            if (old.known) {
                c.ownSeen = c.ownSeen * kShareMemory + old.own;
                c.totalSeen = c.totalSeen * kShareMemory + std::max(old.own, old.total);
            }
            c.slices.erase(c.slices.begin());
        }
        while (c.slices.empty() || c.slices.back().index < now) {
            Slice next;
            next.index = c.slices.empty() ? now - 1 : c.slices.back().index + 1;
            if (!c.slices.empty()) {  // until the counter answers
                const Slice& old = c.slices.back();
                next.total = debtOf(plan, old.total + old.unused);
                next.since = debtOf(plan, old.total + old.unused + unseenIn(c, plan, old)) - next.total;
            }
            c.slices.push_back(std::move(next));
        }
        return c.slices.back();
    }

    Slice* findSlice(Tenant& c, std::int64_t index) {
        for (Slice& slice : c.slices)
            if (slice.index == index) return &slice;
        return nullptr;
    }

    Duration untilRoom(Tenant& c, const QuotaPlan& plan, double cost) const {
        if (plan.rate <= 0 || c.slices.empty()) return Duration{};
        Slice& current = c.slices.back();
        return fromSeconds(std::max(0.0, cost - roomOf(id_, plan, current, current.total)) / plan.rate);
    }

    // ---- The counter ------------------------------------------------------------------------------

    void post(Tenant& c, TenantId id, Slice& slice, std::uint64_t request, double cost) {
        Call call;
        call.request = request;
        call.cost = cost;
        call.admitted = std::exchange(slice.oweAdmitted, 0);
        call.takenBack = std::exchange(slice.oweBack, 0);
        call.blind = call.carried = std::exchange(slice.oweBlind, 0);
        slice.taken += call.takenBack;
        call.amount = call.cost + call.admitted - call.takenBack;
        slice.posted += call.amount;
        call.takenSoFar = slice.taken;
        call.postedSoFar = slice.posted;
        if (request != 0) ++requests_[request].awaited;
        const QuotaPlan& plan = s_.plans[static_cast<std::size_t>(c.plan)];
        act(AddToCounter{sliceName(id, slice.index), call.amount,
                         std::min(kLongestName, fromSeconds(3 * sliceOf(plan)))});
        slice.calls.push_back(std::move(call));
    }

    // The share of requests that asks the counter. Answers that come near the time-out or are turned away
    // tell of a crowded counter: the share settles where few calls fail. A run of failures tells of a silent
    // one: it is asked a little to notice its return, and then half as much as before. Guards the counter
    // from being hammered and requests from waiting in vain; a passing hiccup costs a little accuracy.
    void noteCounter(const CounterReplied& answer) {
        const double idle = std::min(seconds(now_ - std::exchange(notedAt_, now_)), 2.0);
        // A connection that broke, or an answer that can't be read, tells nothing of how crowded it is.
        if (answer.outcome == Outcome::reset && failures_ + 1 < kCountSilent) {
            if (failures_++ == 0) shareBefore_ = countShare_;
            return;
        }
        if (answer.outcome != Outcome::ok) {
            if (failures_++ == 0) shareBefore_ = countShare_;
            countShare_ = std::max(kCountLeast, countShare_ * kCountCut);
            return;
        }
        const double part = seconds(answer.elapsed) / std::max(seconds(s_.counterTimeout), 1e-6);
        quickest_ = std::min(quickest_, part);
        if (counterSilent()) countShare_ = std::max(countShare_, shareBefore_ / 2);
        failures_ = 0;
        const bool crowded = part > quickest_ + (1 - quickest_) * kCountSlow;
        countShare_ = crowded ? std::max(kCountLeast, countShare_ * kCountEase)
                              : std::min(1.0, countShare_ + kCountRise + kCountRegain * idle);
    }
    bool counterSilent() const { return failures_ >= kCountSilent; }

    // A crowded counter is asked where its answer is worth most: for tenants that come near their quota,
    // and by what letting in one too many costs. The mean over all requests stays near the share.
    double askChance(const Tenant& c, const QuotaPlan& plan, const Slice& current) {
        double near = std::clamp(nearness(c, plan, current), kAskLeast, 1.0);
        if (isThin(c, plan)) near *= near;  // few come near their quota, and the meter knows them
        const double stale = seconds(now_ - c.heardAt) / (kAskAgain * sliceOf(plan));
        const double worth =
            plan.price * (plan.overQuotaPenalty + kAskLeast) * near * std::clamp(stale, kAskLeast, 1.0);
        askWorth_ = askWorth_ > 0 ? blend(askWorth_, worth, kAskSmooth) : worth;
        if (countShare_ >= 1) return 1;
        return std::pow(countShare_, std::clamp(askWorth_ / std::max(worth, 1e-9), 0.2, 4.0));
    }
    // Units a second that a tenant asks for here, over about two slices.
    void noteDemand(Tenant& c, const QuotaPlan& plan, double cost) {
        const double span = 2 * sliceOf(plan);
        c.demand *= std::exp(-seconds(now_ - std::exchange(c.demandAt, now_)) / span);
        c.demand += cost / span;
    }
    bool drawCount() { return countShare_ >= 1 || chance() < countShare_; }

    void setFlush(TenantId id, Slice& slice, const Tenant& c) {
        if (slice.flushSet || !s_.counterEnabled) return;
        slice.flushSet = true;
        const QuotaPlan& plan = s_.plans[static_cast<std::size_t>(c.plan)];
        setTimer({TimerKind::flush, id, slice.index}, fromSeconds(kFlushAfter * sliceOf(plan)));
    }

    void flush(TenantId id, std::int64_t index) {
        const auto found = tenants_.find(id);
        Slice* slice = found == tenants_.end() ? nullptr : findSlice(found->second, index);
        if (slice == nullptr) return;
        slice->flushSet = false;
        // While the counter is silent the next add carries it.
        if (counterSilent() || (slice->oweAdmitted == 0 && slice->oweBack == 0)) return;
        if (thinned(found->second, *slice)) return;
        if (drawCount()) return post(found->second, id, *slice, 0, 0);
        setFlush(id, *slice, found->second);  // crowded: later, with what has come up until then
    }

    // A crowded counter can't take a call for every settlement where no next add comes that could carry it:
    // one in some goes out and stands for the others, so that in sum the true cost is settled.
    bool thinned(const Tenant& c, Slice& slice) {
        const QuotaPlan& plan = s_.plans[static_cast<std::size_t>(c.plan)];
        if (countShare_ >= 1 || slice.oweBack != 0 || !isThin(c, plan)) return false;
        const double goes = std::max(countShare_, kSettleLeast);
        const bool dropped = chance() >= goes;
        slice.oweAdmitted = dropped ? 0 : slice.oweAdmitted / goes;
        return dropped;
    }

    // The more gateways, the later each learns from its few answers that all of them fill the queues.
    double startShare() const {
        return std::max(kLimitServed, kLimitStart * std::min(1.0, kLimitFew / s_.gatewayCount)) /
               s_.gatewayCount;
    }
    double startLimit() const { return std::max(1.0, startShare()); }

    // ---- Choosing an endpoint ------------------------------------------------------------------------

    bool isAside(const Endpoint& w) const { return now_ < w.asideUntil || (w.onTrial && w.out > 0); }

    double coldShare(const Endpoint& w) const {
        if (w.entry.startedAt <= Time{} || s_.slowStartDuration <= Duration{}) return 1;
        const double age = seconds(now_ - w.entry.startedAt) / seconds(s_.slowStartDuration);
        return age >= 1 ? 1 : s_.slowStartInitialShare + (1 - s_.slowStartInitialShare) * std::max(age, 0.0);
    }

    // A cold endpoint's budget. What the endpoints serve is at most what they can, however much is asked for:
    // of each answer a cold one earns its part here, and is sent an attempt when that has come up to one.
    // Each starts with a part of one that is dealt out evenly over the gateways by the endpoint's name and
    // start, so that their turns come one after the other and the sum of all keeps to what was earned; drawn
    // by each alone it would add up to a Poisson spread.
    void earn(Endpoint& w, double share) {
        const double served = earned_ - std::exchange(w.earnedAt, earned_);
        if (w.part <= 0) return;
        const double part = share * w.entry.weight * coldMultiple() / w.part;
        // With little traffic turns come by the chance of who gets the requests, which needs a reserve.
        const double fleet = hearEvery_ > kForget ? std::max(weight_, kColdReserve * capacity_) : capacity_;
        w.credit = std::min(kColdStore, w.credit + part * served / std::max(fleet, 1e-9));
    }
    // By its part a cold one is as busy as warm ones are; more would queue there while those have room. Up to
    // the tipping multiple of that goes to it while they answer slowly and it doesn't, or where none is warm.
    double coldMultiple() const {
        const double pressed = anyWarm_ ? std::clamp((slowWarm_ - slowCold_) / kSlowShare, 0.0, 1.0) : 1;
        return 1 + (std::max(1.0, s_.overloadMultiple * kColdSafety) - 1) * pressed;
    }

    bool coldHasRoom(Endpoint& w) {
        const double share = coldShare(w);
        if (share >= 1) return true;
        earn(w, share);
        return w.part > 0 && w.credit >= 1;
    }

    double score(const Endpoint& w) {
        // What was heard of an endpoint fades to the fleet's mean, at least as slowly as all are heard of
        // once.
        const double fresh = std::exp(-seconds(now_ - w.heardAt) / std::max(kForget, hearEvery_));
        const double slow = 1 + (w.slowness - 1) * fresh;
        // With little traffic a cold endpoint's attempts were drawn by its budget: those go there.
        if (hearEvery_ > kForget && coldShare(w) < 1) return 0;
        double load = 1 + w.out + others_ + (w.others - others_) * fresh;
        if (s_.loadReportSource != LoadReportSource::inResponses)
            load = 1 + w.out * static_cast<double>(s_.gatewayCount);
        double value = load / std::max(w.entry.weight * coldShare(w), 1e-3) * std::max(slow, 0.2);
        if (w.entry.zone != s_.zone) value *= 1 + kForeignZone;
        return value * (1 + 3 * w.errors * fresh) * (1 + 0.1 * chance());
    }

    int choose(const Request& r) {
        if (now_ - subsetAt_ > kSubsetAge) drawSubset();  // some have become warm
        const int own = choose(r, true);
        const int any = own >= 0 || s_.gatewayCount <= kLimitFew ? own : choose(r, false);
        // Nobody serves and none is warm: then what is asked for has to tell, though it may be too much.
        if (any < 0 && now_ - servedAt_ > s_.overloadWindow / 8 && !someWarm())
            earned_ += kColdAsked * relativeWork(r);
        return any;
    }

    bool someWarm() const {
        return std::any_of(endpoints_.begin(), endpoints_.end(),
                           [&](const Endpoint& w) { return w.usable && !isAside(w) && coldShare(w) >= 1; });
    }

    int choose(const Request& r, bool subset) {
        const RequestClass& cls = classOf(r);
        int onEndpointUpdate = 0, aside = 0;
        for (const Endpoint& w : endpoints_) {
            onEndpointUpdate += w.usable;
            aside += w.usable && isAside(w);
        }
        // Never so many aside that the rest drown: past that share the marks are not believed.
        const bool believe = aside <= onEndpointUpdate * kEjectMost;
        int best = -1;
        double bestScore = 0;
        for (std::size_t i = 0; i < endpoints_.size(); ++i) {
            Endpoint& w = endpoints_[i];
            if (!w.usable || (isAside(w) && believe) || w.out + 1 > w.limit) continue;
            if (subset != (w.part > 0)) continue;
            if (!coldHasRoom(w)) continue;
            if (r.mayHaveRun && !sameGroup(cls, r, w)) continue;
            double value = score(w);
            if (w.onTrial && cls.idempotency != Idempotency::safe) value *= 4;
            for (const Attempt& a : r.attempts)
                if (a.endpoint == static_cast<int>(i)) value *= 100;
            if (best < 0 || value < bestScore) {
                best = static_cast<int>(i);
                bestScore = value;
            }
        }
        return best;
    }

    static bool sameGroup(const RequestClass& cls, const Request& r, const Endpoint& w) {
        if (cls.idempotency == Idempotency::safe || cls.deduplicationScope == DeduplicationScope::all)
            return true;
        return cls.deduplicationScope == DeduplicationScope::zone ? r.zone == w.entry.zone
                                                                  : r.cell == w.entry.cell;
    }

    double workOf(const Request& r) const {
        const double mean = classLatency_[static_cast<std::size_t>(r.told.requestClass)];
        return mean > 0 ? mean : seconds(classOf(r).latencyObjective) / 8;
    }
    // In requests of mean work.
    double relativeWork(const Request& r) const {
        double work = 0, samples = 0;
        for (std::size_t k = 0; k < classLatency_.size(); ++k) {
            work += classLatency_[k] * classSamples_[k];
            samples += classSamples_[k];
        }
        const double own = classLatency_[static_cast<std::size_t>(r.told.requestClass)];
        return own > 0 && work > 0 ? own * samples / work : 1;
    }

    // ---- Attempts ---------------------------------------------------------------------------------

    void dispatch(std::uint64_t id, Request& r) {
        const Duration left = timeLeft(r);
        const int choice = left > Duration{} && out_ + chance() < limit_ ? choose(r) : -1;
        if (choice < 0) {
            if (!r.reached) refundUnsent(r);
            return finishUnserved(id, r, fromSeconds(workOf(r)));
        }
        Endpoint& w = endpoints_[static_cast<std::size_t>(choice)];
        if (r.attempts.empty()) retries_ = std::min(kRetryStore, retries_ + kRetryEarned);
        r.attempts.push_back({choice, now_, false});
        ++w.out;
        ++out_;
        if (Tenant* c = knownTenant(r)) ++c->out;
        w.credit -= relativeWork(r);
        const bool repeats = r.mayHaveRun && classOf(r).idempotency == Idempotency::withKey;
        const Time until = repeats ? r.groupSince + classOf(r).idempotencyWindow : now_;
        act(SendAttempt{r.told.request, w.entry.endpoint, left, until - now_});
    }

    // What an attempt may take: until the client leaves, or until its answer is worth nothing.
    Duration timeLeft(const Request& r) const {
        Time end = r.told.deadline;
        if (classOf(r).lateWeight <= 0 && !classOf(r).streamed) end = std::min(end, r.arrivedAt + aimOf(r));
        return end - now_;
    }

    Duration aimOf(const Request& r) const {
        const RequestClass& cls = classOf(r);
        const double stretch = cls.latencyObjectiveStretch > 0 ? cls.latencyObjectiveStretch * workOf(r) : 0;
        return std::min(cls.latencyObjective + fromSeconds(stretch),
                        std::max(cls.deadline, cls.latencyObjective));
    }

    void on(const StreamStarted& e) {
        if (const auto id = idOf(e.request)) requests_[*id].streaming = true;
    }

    void on(const AttemptEnded& e) {
        const auto id = idOf(e.request);
        if (!id) return;
        Request& r = requests_[*id];
        if (e.attempt < 0 || static_cast<std::size_t>(e.attempt) >= r.attempts.size()) return;
        Attempt& a = r.attempts[static_cast<std::size_t>(e.attempt)];
        if (a.ended) return;
        a.ended = true;
        Endpoint& w = endpoints_[static_cast<std::size_t>(a.endpoint)];
        --w.out;
        --out_;
        Tenant* c = knownTenant(r);
        if (c != nullptr) --c->out;
        learn(w, r, e);
        if (!provesNeverRan(e.outcome) && !r.mayHaveRun) {
            r.mayHaveRun = true;
            r.zone = w.entry.zone;
            r.cell = w.entry.cell;
            r.groupSince = a.sentAt;
        }
        if (e.meteredPercent && c != nullptr) c->use = blend(c->use, *e.meteredPercent / 100, kSmooth);
        if (e.trueCost && c != nullptr) settle(r, *c, *e.trueCost - r.told.cost);
        // A ceiling takes units at the first attempt, a quota where it reaches an endpoint.
        const bool neverUp = e.outcome == Outcome::connectFailed && planCeiling(r) <= 0;
        r.reached = r.reached || (e.outcome != Outcome::notSent && !neverUp);
        if (e.closed) r.closed = true;
        if (!r.closed && mayRetry(r)) {
            retries_ -= 1;
            return dispatch(*id, r);
        }
        if (!r.reached && !outstanding(r)) refundUnsent(r);
        if (r.closed) return forgetIfDone(*id, r);
        finishUnserved(*id, r, fromSeconds(workOf(r)));
    }

    // Settlement: the true cost less the charge goes to the current slice, as debt or refund.
    void settle(const Request& r, Tenant& c, double difference) {
        const QuotaPlan& plan = *planOf(r.told);
        if (plan.rate <= 0 || difference == 0 || c.plan != r.told.plan) return;
        id_ = r.told.tenant;
        Slice& current = roll(c, plan);
        current.own += difference;
        current.oweAdmitted += difference;
        current.since += difference;
        setFlush(id_, current, c);
    }

    bool mayRetry(const Request& r) const {
        const RequestClass& cls = classOf(r);
        if (static_cast<int>(r.attempts.size()) >= s_.maxAttempts || retries_ < 1) return false;
        if (outstanding(r) || seconds(timeLeft(r)) < workOf(r)) return false;
        if (!r.mayHaveRun || cls.idempotency == Idempotency::safe) return true;
        return cls.idempotency == Idempotency::withKey && now_ < r.groupSince + cls.idempotencyWindow;
    }

    void learn(Endpoint& w, const Request& r, const AttemptEnded& e) {
        const RequestClass& cls = classOf(r);
        const std::size_t k = static_cast<std::size_t>(r.told.requestClass);
        if (e.report && e.report->inFlight)
            w.others = blend(w.others, std::max(0.0, *e.report->inFlight - w.out), kReportWeight);
        others_ = blend(others_, w.others, kSmooth);
        const double gap = seconds(now_ - std::exchange(heardAt_, now_));
        hearEvery_ = blend(hearEvery_, gap * static_cast<double>(workerIndex_.size()), kSmooth);
        const double took = seconds(e.elapsed);
        const bool served = e.outcome == Outcome::ok && !r.streaming;
        if (served)
            classLatency_[k] = blend(classLatency_[k], took, std::max(0.02, 1.0 / ++classSamples_[k]));
        if ((served || e.outcome == Outcome::timedOut) && classLatency_[k] > 0)
            w.slowness = blend(w.slowness, std::min(took / classLatency_[k], 10.0), kSmooth);
        // The limit on all attempts out settles where few answers are slow. Guards against queues that leave
        // nobody in time, whatever fills them (overload, a shrunken fleet, crowded machines). Costly requests
        // lower it too, which costs throughput only while the limit is reached.
        const double part = took / seconds(cls.latencyObjective);
        const bool timedOut = e.outcome == Outcome::timedOut;
        const bool slow = (served && part > kSlowAnswer) || timedOut;
        const double step = std::min(1.0, limit_ / 4);
        // Time-outs and turn-aways while the usual answer is quick are their endpoints' own (silent, ageing,
        // short of connections, a failing class): those are avoided, and refusing everybody would not help.
        // The median takes time-outs in.
        if (served || timedOut) median_ = std::clamp(median_ * (part > median_ ? 1.05 : 0.95), 0.01, 1.0);
        if ((slow || e.outcome == Outcome::rejected) && (served || median_ > kSlowAnswer / 2))
            limit_ = std::max(kLimitLeast, limit_ - step);
        else if (served && out_ + 1 > 0.8 * limit_)
            limit_ += step * kSlowShare / (1 - kSlowShare);
        const bool bad = slow || e.outcome == Outcome::rejected;
        double& slowHere = coldShare(w) < 1 ? slowCold_ : slowWarm_;
        if (bad || served) slowHere = blend(slowHere, bad ? 1 : 0, kSlowSmooth);
        if (bad && now_ - w.limitCutAt > fromSeconds(classLatency_[k])) {
            w.limit = std::max(1.0, w.limit * kLimitCut);
            w.limitCutAt = now_;
        } else if (!bad && served && w.out + 1 >= w.limit - 1) {
            w.limit += 1 / w.limit;
        }
        w.heardAt = now_;
        if (e.outcome == Outcome::ok) {
            servedAt_ = now_;
            if (w.usable) earned_ += relativeWork(r);
            w.errors = blend(w.errors, 0, kSmooth);
            if (std::exchange(w.onTrial, false))
                w.errors = std::min(w.errors, kEjectAt / 2);
            else if (w.errors < kEjectAt / 4)
                w.relapses = 0;
        } else if (e.outcome == Outcome::error || e.outcome == Outcome::reset ||
                   e.outcome == Outcome::rejected) {
            w.errors = blend(w.errors, 1, kSmooth);
            if (w.errors > kEjectAt || w.onTrial) putAside(w);
        } else if (e.outcome == Outcome::connectFailed)
            putAside(w);
    }

    void putAside(Endpoint& w) {
        if (now_ < w.asideUntil) return;
        w.asideUntil = now_ + fromSeconds(std::min(kEjectLongest, kEjectFirst * std::exp2(w.relapses)));
        w.relapses = std::min(w.relapses + 1, 10);
        w.onTrial = true;
    }

    static bool outstanding(const Request& r) {
        return std::any_of(r.attempts.begin(), r.attempts.end(), [](const Attempt& a) { return !a.ended; });
    }

    // ---- Final answers ----------------------------------------------------------------------------

    void finishUnserved(std::uint64_t id, Request& r, Duration retryAfter) {
        const RequestClass& cls = classOf(r);
        const bool harmless =
            cls.idempotency == Idempotency::safe || (!r.mayHaveRun && !outstanding(r)) ||
            (cls.idempotency == Idempotency::withKey && cls.deduplicationScope == DeduplicationScope::all &&
             now_ < r.groupSince + cls.idempotencyWindow);
        if (harmless)
            act(RejectRequest{r.told.request,
                              s_.retryAfterAllowed ? std::min(retryAfter, s_.maxRetryAfter) : Duration{}});
        else
            act(FailRequest{r.told.request});
        r.closed = true;
        r.decided = true;
        forgetIfDone(id, r);
    }

    // A request that was charged but reached no endpoint draws nothing from the quota.
    void refundUnsent(const Request& r) {
        const QuotaPlan* plan = planOf(r.told);
        Tenant* c = knownTenant(r);
        if (plan == nullptr || c == nullptr) return;
        if (Slice* slice = findSlice(*c, r.slice); slice != nullptr && !r.stoodFor) {
            slice->own -= r.told.cost;
            giveBack(r, *slice);
            if (!r.answered && !r.charged) slice->oweBlind = std::max(0.0, slice->oweBlind - r.told.cost);
            if (!r.answered) admitUnseen(*c, *plan, *slice, -r.told.cost);
            setFlush(r.told.tenant, *slice, *c);
        }
        if (r.guarded) c->guard += r.told.cost;
    }

    void on(const ClientDisconnected& e) {
        const auto id = idOf(e.request);
        if (!id) return;
        Request& r = requests_[*id];
        for (std::size_t i = 0; i < r.attempts.size(); ++i)
            if (!r.attempts[i].ended && s_.cancellationAllowed && !r.streaming)
                act(CancelAttempt{e.request, static_cast<int>(i)});
        if (!r.decided) {
            r.decided = true;
            if (Tenant* c = knownTenant(r)) takeBack(r, findSlice(*c, r.slice));
        }
        r.closed = true;
        forgetIfDone(*id, r);
    }

    void forgetIfDone(std::uint64_t id, Request& r) {
        if (!r.closed || outstanding(r)) return;
        ids_.erase(r.told.request);
        requests_.erase(id);
    }

    // ---- Timers and the rest ----------------------------------------------------------------------

    void on(const HealthCheckCompleted&) {}
    void on(const GossipMessage&) {}  // peers are not needed: the counter tells of the others

    enum class TimerKind { countWait, flush, discovery };
    struct Timer {
        TimerKind kind;
        std::uint64_t subject;
        std::int64_t index;
    };

    void setTimer(Timer timer, Duration after) {
        timers_[nextTimer_] = timer;
        act(SetTimer{nextTimer_++, std::max(after, Duration(1))});
    }

    void on(const TimerFired& e) {
        const auto it = timers_.find(e.timer);
        if (it == timers_.end()) return;
        const Timer t = it->second;
        timers_.erase(it);
        if (t.kind == TimerKind::flush) return flush(t.subject, t.index);
        if (t.kind == TimerKind::discovery) return act(WatchEndpoints{});
        const auto r = requests_.find(t.subject);
        if (r != requests_.end() && !r->second.decided) decide(t.subject, r->second);
    }

    const RequestClass& classOf(const Request& r) const {
        return s_.classes[static_cast<std::size_t>(r.told.requestClass)];
    }
    double planCeiling(const Request& r) const {
        const QuotaPlan* plan = planOf(r.told);
        return plan == nullptr ? 0 : plan->ceilingRate;
    }
    const QuotaPlan* planOf(const RequestArrived& told) const {
        return s_.plans.empty() ? nullptr : &s_.plans[static_cast<std::size_t>(told.plan)];
    }
    Tenant* knownTenant(const Request& r) {
        const auto it = tenants_.find(r.told.tenant);
        return it == tenants_.end() ? nullptr : &it->second;
    }
    std::optional<std::uint64_t> idOf(const RequestId& request) const {
        const auto it = ids_.find(request);
        return it == ids_.end() ? std::nullopt : std::optional(it->second);
    }
    double chance() { return static_cast<double>(random_() >> 11) * 0x1.0p-53; }
    void act(Action action) { actions_->push_back(std::move(action)); }

    Settings s_;
    std::mt19937_64 random_;
    Time now_{};
    std::optional<Time> startedAt_;
    Actions* actions_ = nullptr;
    TenantId id_ = 0;  // the tenant in hand
    std::vector<Endpoint> endpoints_;
    std::unordered_map<EndpointId, std::size_t> workerIndex_;
    std::vector<std::size_t> freeSlots_;
    std::unordered_map<RequestId, std::uint64_t> ids_;
    std::unordered_map<std::uint64_t, Request> requests_;
    std::unordered_map<TenantId, Tenant> tenants_;
    std::unordered_map<std::uint64_t, Timer> timers_;
    std::uint64_t nextRequest_ = 1, nextTimer_ = 1;
    int sinceSweep_ = 0;
    std::vector<double> classLatency_, refused_;  // by class: s; by plan: share of answers that leave no room
    std::vector<int> classSamples_;
    double countShare_ = 1, shareBefore_ = 1;
    double quickest_ = 1;  // the counter's quickest answer, as a part of the time-out
    Time notedAt_{};
    int failures_ = 0;      // of its calls, in a row
    double askWorth_ = 0;   // mean worth of an answer
    double others_ = 0;     // mean of the endpoints' reported attempts
    double hearEvery_ = 0;  // s in which this gateway hears of every endpoint once, about
    Time heardAt_{};
    Time subsetAt_{};
    double weight_ = 0, capacity_ = 0;  // of the usable endpoints, by weight and by weight x warmth
    double earned_ = 0;                 // work served by usable ones, in requests of mean work
    Time servedAt_{};                   // the latest answer that was served
    bool anyWarm_ = false;
    double slowWarm_ = 0, slowCold_ = 0;  // shares of slow answers of warm endpoints and of cold ones
    double median_ = 0.2;                 // of the times of answers, as parts of their aims
    int out_ = 0;                         // own attempts outstanding
    double limit_ = 0;                    // how many may be
    double retries_ = kRetryStore;
    bool asked_ = false;
};

DecisionEngine::DecisionEngine(Settings settings, std::uint64_t seed)
    : decisions_(std::make_unique<Decisions>(std::move(settings), seed)) {}
DecisionEngine::~DecisionEngine() = default;
DecisionEngine::DecisionEngine(DecisionEngine&&) noexcept = default;
DecisionEngine& DecisionEngine::operator=(DecisionEngine&&) noexcept = default;

void DecisionEngine::handle(Time now, const Event& event, Actions& actions) {
    decisions_->handle(now, event, actions);
}

}  // namespace gateway
