// Estimates a tenant's usage across all gateways from the requests that arrive at this one.
#pragma once

#include "decision/quota/tenant.h"
#include "gateway/settings.h"

namespace gateway {

// Stateless; Tenant::usage holds the observations.
class UsageEstimator {
public:
    // `settings` must outlive the estimator.
    explicit UsageEstimator(const Settings& settings) : settings_(settings) {}

    // Returns the plan that the tenant's latest request named.
    const QuotaPlan& planOf(const Tenant& tenant) const;

    // Returns the estimated share of the tenant's cost that this gateway admits, above 0 and at most 1.
    double trafficShare(const Tenant& tenant) const;

    // Whether too small a share of the tenant's traffic arrives at this gateway to estimate its total usage.
    bool hasLowLocalTraffic(const Tenant& tenant) const;

    // Whether the tenant has low local traffic and the usage meter in responses shows its usage instead.
    bool reliesOnMeter(const Tenant& tenant) const;

    // Returns the cost that the other gateways are estimated to admit while this one admits `cost` without a
    // reply from the counter. With a counter, the estimate is reduced, down to 0, if a request beyond the
    // quota has a value above its penalty.
    double estimatedRemoteUsage(const Tenant& tenant, double cost) const;

private:
    const Settings& settings_;
};

}  // namespace gateway
