// Estimates what a tenant uses of its quota over all gateways from the part of its requests that comes here.
#pragma once

#include "decision/quota/tenant.h"
#include "gateway/settings.h"

namespace gateway {

class UsageEstimator {
public:
    // `settings` must outlive the estimator.
    explicit UsageEstimator(const Settings& settings) : settings_(settings) {}

    const QuotaPlan& planOf(const Tenant& tenant) const;

    // The share of the tenant's cost that is admitted here, from above 0 to 1.
    double trafficShare(const Tenant& tenant) const;

    // So few of the tenant's requests come here that they tell next to nothing of its use.
    bool isSparseHere(const Tenant& tenant) const;

    // The same, and the meter in the responses tells of its use instead.
    bool reliesOnMeter(const Tenant& tenant) const;

    // The cost that the other gateways are taken to admit while this one admits `cost` without a reply of the
    // counter.
    double othersWhile(const Tenant& tenant, double cost) const;

    // Cost a second that the tenant asks for here, over about two slices.
    void noteDemand(Tenant& tenant, double cost, TimePoint now) const;

    // A slice leaves the window: its sum tells the tenant's traffic share.
    void noteClosedSlice(Tenant& tenant, const WindowSlice& slice) const;

    // The meter reported how much of its quota the tenant uses, in percent.
    void noteMeter(Tenant& tenant, double percent) const;

private:
    const Settings& settings_;
};

}  // namespace gateway
