// Admits or rejects requests by the quota, the ceiling and the concurrency of their tenant's plan.
//
// On the ordinary path, as in Šnuderl's thesis, a request's charge is added to its tenant's window on the
// counter service, and the total that comes back decides. docs/design.md lists the exceptions and when each
// acts.
#pragma once

#include <vector>

#include "decision/engine/event_context.h"
#include "decision/quota/counter_ledger.h"

namespace gateway {

// Owns the share of rejecting replies by plan; all other state is in its collaborators.
class QuotaAdmission {
public:
    // How a request that has just arrived proceeds.
    enum class Start {
        rejected,   // the last known total has exhausted the quota
        decideNow,  // without a reply of the counter
        waiting,    // for a reply of the counter
    };

    struct Decision {
        bool admitted = false;
        Duration retryAfter{};  // if rejected: time until the tenant has quota for the request
    };

    // All arguments must outlive the admission.
    QuotaAdmission(const Settings& settings, const UsageEstimator& usage, QuotaWindow& window,
                   CeilingBucket& ceiling, CounterSampler& sampler, TenantTable& tenants,
                   CounterLedger& ledger)
        : settings_(settings),
          usage_(usage),
          window_(window),
          ceiling_(ceiling),
          sampler_(sampler),
          tenants_(tenants),
          ledger_(ledger),
          rejectedReplyShares_(settings.plans.size(), 0) {}

    // Charges an arrived request, or rejects it if the last known total has exhausted its tenant's quota.
    // Precondition: its class and its plan are in the settings.
    Start start(EventContext& context, Request& request);

    // Time until the tenant has quota for a request that start() rejected.
    Duration retryAfter(const Request& request, TimePoint now) const;

    // Decides on a request by the counter's reply; without one, by the last known totals and an estimate of
    // what was admitted since. Records the charge of an admitted request and refunds that of a rejected one.
    // `startedAt` is when this gateway started.
    Decision decide(EventContext& context, Request& request, TimePoint startedAt);

private:
    bool drawSample(EventContext& context, Tenant& tenant, const WindowSlice& current, Request& request);
    WindowSlice* advanceToChargedSlice(Tenant& tenant, const Request& request, TimePoint now);
    bool decideAdmission(EventContext& context, Tenant& tenant, Request& request, WindowSlice* slice,
                         TimePoint startedAt);
    bool decideByWindow(Tenant& tenant, const Request& request, WindowSlice& slice, TimePoint now);
    void recordWindowDecision(Tenant& tenant, const QuotaCharge& charge, bool fits, TimePoint now);
    bool fitsConcurrency(const Tenant& tenant, const QuotaPlan& plan) const;
    double unconfirmedProbability(const Tenant& tenant, const QuotaPlan& plan) const;
    double replyValue(const Tenant& tenant, const WindowSlice& slice, TimePoint now) const;
    double maxSampleWeight(const Tenant& tenant) const;

    const Settings& settings_;
    const UsageEstimator& usage_;
    QuotaWindow& window_;
    CeilingBucket& ceiling_;
    CounterSampler& sampler_;
    TenantTable& tenants_;
    CounterLedger& ledger_;
    // By plan: moving share of the counter's replies that left no quota for their request.
    std::vector<double> rejectedReplyShares_;
};

}  // namespace gateway
