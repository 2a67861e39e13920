// Admits or rejects requests according to the quota, the ceiling and the concurrency limit of their tenant's
// plan.
//
// By default a request's charge is added to its tenant's window on the counter service, and the request is
// admitted if the reported total is within the quota, as in Šnuderl's "Rate limiting in API management".
// docs/design.md lists the exceptions and their conditions.
#pragma once

#include <vector>

#include "decision/engine/event_context.h"
#include "decision/quota/counter_ledger.h"

namespace gateway {

// Keeps the share of counter replies that left no quota, for each plan; its collaborators keep all other
// state.
class QuotaAdmission {
public:
    // How a request proceeds after start().
    enum class StartResult {
        rejected,         // the last known total leaves no quota for the request
        readyToDecide,    // decide() is to be called without a counter reply
        waitingForReply,  // decide() is to be called when the counter replies or the wait times out
    };

    struct Decision {
        bool admitted = false;
        Duration retryAfter{};  // if rejected: time until the tenant has quota for the request; 0 if it has
    };

    // All arguments must outlive this object.
    QuotaAdmission(const Settings& settings, const UsageEstimator& estimator, QuotaWindow& window,
                   CeilingBucket& ceiling, CounterSampler& sampler, TenantTable& tenants,
                   CounterLedger& ledger)
        : settings_(settings),
          estimator_(estimator),
          window_(window),
          ceiling_(ceiling),
          sampler_(sampler),
          tenants_(tenants),
          ledger_(ledger),
          exhaustedReplyShares_(settings.plans.size(), 0) {}

    // Charges an arrived request, or rejects it if the last known total leaves no quota for it.
    // Precondition: its class and its plan are in the settings.
    StartResult start(EventContext& context, Request& request);

    // Returns the time until the tenant has quota for a request that start() rejected.
    Duration retryAfter(const Request& request, TimePoint now) const;

    // Decides on a request by the counter's reply, or, without a reply, by the last known total and an
    // estimate of the cost admitted since. Records an admitted request and refunds the charge of a rejected
    // one. `startedAt` is when this gateway started.
    Decision decide(EventContext& context, Request& request, TimePoint startedAt);

private:
    bool sampleRequest(EventContext& context, Tenant& tenant, const WindowSlice& current, Request& request);
    WindowSlice* advanceToChargedSlice(Tenant& tenant, const Request& request, TimePoint now);
    bool decideAdmission(EventContext& context, Tenant& tenant, Request& request, WindowSlice* slice,
                         TimePoint startedAt);
    bool decideByWindow(Tenant& tenant, const Request& request, WindowSlice& slice, TimePoint now);
    void recordWindowDecision(Tenant& tenant, const QuotaCharge& charge, bool fits, TimePoint now);
    bool isWithinConcurrencyLimit(const Tenant& tenant, const QuotaPlan& plan) const;
    double unconfirmedAdmissionProbability(const Tenant& tenant, const QuotaPlan& plan) const;
    double replyBenefit(const Tenant& tenant, const WindowSlice& slice, TimePoint now) const;
    double maxSampleWeight(const Tenant& tenant) const;

    const Settings& settings_;
    const UsageEstimator& estimator_;
    QuotaWindow& window_;
    CeilingBucket& ceiling_;
    CounterSampler& sampler_;
    TenantTable& tenants_;
    CounterLedger& ledger_;
    // For each plan: moving average of the share of counter replies that left no quota for their request.
    std::vector<double> exhaustedReplyShares_;
};

}  // namespace gateway
