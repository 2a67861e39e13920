// Estimates a tenant's use of its quota over all gateways from the part of its requests that arrives here.
#pragma once

#include "decision/quota/tenant.h"
#include "gateway/settings.h"

namespace gateway {

// Queries alone; the observations are in TenantUsage.
class UsageEstimator {
public:
    // `settings` must outlive the estimator.
    explicit UsageEstimator(const Settings& settings) : settings_(settings) {}

    // The plan that the tenant's latest request named.
    const QuotaPlan& planOf(const Tenant& tenant) const;

    // The share of the tenant's cost that is admitted here, from above 0 to 1.
    double trafficShare(const Tenant& tenant) const;

    // Whether so small a share of the tenant's traffic arrives here that it hardly shows the tenant's use.
    bool hasLowLocalTraffic(const Tenant& tenant) const;

    // The same, where the usage meter in the responses shows the tenant's use instead.
    bool reliesOnMeter(const Tenant& tenant) const;

    // The cost that the other gateways are estimated to admit while this one admits `cost` without a reply of
    // the counter.
    double estimatedRemoteUsage(const Tenant& tenant, double cost) const;

private:
    const Settings& settings_;
};

}  // namespace gateway
