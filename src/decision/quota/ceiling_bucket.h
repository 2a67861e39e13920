// A token bucket for requests of a plan with a ceiling that are admitted without a reply of the counter.
//
// Admissions on a reply stay within the quota, as the reported total includes what the other gateways have
// posted. Admissions without a reply draw from this gateway's part of what the ceiling allows beyond the
// quota, and are refunded when a later reply shows that they were within the quota. So n gateways together
// forward at most quota + n * (ceiling - quota) / n, however unevenly the tenant's requests are spread.
#pragma once

#include "decision/quota/tenant.h"
#include "gateway/settings.h"

namespace gateway {

// Decides on the CeilingTokens of the tenants that it is handed. Costs are in the plan's cost unit.
class CeilingBucket {
public:
    // `settings` must outlive the bucket.
    explicit CeilingBucket(const Settings& settings) : settings_(settings) {}

    // Fills the tenant's bucket up to `now` and draws `cost`. Returns false, and draws nothing, with too few
    // tokens. `startedAt` is when this gateway started: the bucket is empty then, as an earlier incarnation
    // of the gateway may just have drawn all tokens.
    bool tryDraw(Tenant& tenant, const QuotaPlan& plan, double cost, TimePoint now, TimePoint startedAt);

    // Refunds cost that a reply of the counter has shown to be within the quota.
    void refundConfirmed(Tenant& tenant, const QuotaPlan& plan, double cost);

    // Refunds the cost of a request that reached no endpoint.
    static void refundUnsent(Tenant& tenant, double cost);

private:
    double capacity(const Tenant& tenant, const QuotaPlan& plan) const;
    void fill(Tenant& tenant, const QuotaPlan& plan, TimePoint now, TimePoint startedAt);

    const Settings& settings_;
};

}  // namespace gateway
