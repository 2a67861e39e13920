// A token bucket for what is admitted of a plan with a ceiling without a reply of the counter.
//
// What is admitted on a reply stays within the quota, as the reply's sum has in it what the other gateways
// admitted and posted. What is admitted without one draws from this gateway's part of what the ceiling allows
// beyond the quota, and gets it back once a reply shows it within the quota. So n gateways together send at
// most quota + n x (ceiling - quota) / n, however unevenly the tenant comes.
#pragma once

#include "decision/quota/tenant.h"
#include "gateway/settings.h"

namespace gateway {

class CeilingBucket {
public:
    // `settings` must outlive the bucket.
    explicit CeilingBucket(const Settings& settings) : settings_(settings) {}

    // Draws `cost`; false where there are too few tokens. `startedAt` is when this gateway started.
    bool take(Tenant& tenant, const QuotaPlan& plan, double cost, TimePoint now, TimePoint startedAt) const;

    // Gives back what a reply of the counter has shown to be within the quota.
    void giveBack(Tenant& tenant, const QuotaPlan& plan, double cost) const;

private:
    double capacity(const Tenant& tenant, const QuotaPlan& plan) const;

    const Settings& settings_;
};

}  // namespace gateway
