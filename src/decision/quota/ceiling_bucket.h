// A token bucket for requests that are admitted without a reply from the counter, under a plan with a
// ceiling.
//
// A request that is admitted after a reply stays within the quota, because the reported total includes the
// cost that the other gateways have posted. A request that is admitted without a reply consumes tokens of
// this gateway's share of the difference between ceiling and quota; the tokens are refunded when a later
// reply shows that the request was within the quota. However unevenly the tenant's requests are distributed,
// all n gateways at which they arrive therefore forward at most quota + n * (ceiling - quota) / n, which is
// the ceiling. Bursts may exceed it, because each bucket holds at least the largest request cost. Without a
// counter, the bucket gets this gateway's share of the whole ceiling, without that minimum.
#pragma once

#include "decision/quota/tenant.h"
#include "gateway/settings.h"

namespace gateway {

// Operates on Tenant::ceiling and keeps no state of its own. Costs are in the plan's cost unit.
class CeilingBucket {
public:
    // `settings` must outlive the bucket.
    explicit CeilingBucket(const Settings& settings) : settings_(settings) {}

    // Refills the tenant's bucket up to `now` and consumes `cost` tokens. Returns false, and consumes
    // nothing, if the bucket has fewer tokens. `startedAt` is when this gateway started: the bucket is empty
    // at that time, because the process before a restart may have consumed all tokens.
    bool tryConsume(Tenant& tenant, const QuotaPlan& plan, double cost, TimePoint now, TimePoint startedAt);

    // Refunds the cost of requests that a counter reply has shown to be within the quota.
    void refundConfirmed(Tenant& tenant, const QuotaPlan& plan, double cost);

    // Refunds the cost of a request that reached no endpoint.
    static void refundUnsent(Tenant& tenant, double cost);

private:
    double capacity(const Tenant& tenant, const QuotaPlan& plan) const;
    void refill(Tenant& tenant, const QuotaPlan& plan, TimePoint now, TimePoint startedAt);

    const Settings& settings_;
};

}  // namespace gateway
