// Admits requests by their tenant's quota, or rejects them at once.
//
// The ordinary path is the thesis's: a request's charge is added to its tenant's window on the counter, and
// the sum that comes back decides. docs/design.md tells when each exception acts.
#pragma once

#include <vector>

#include "decision/engine/event_context.h"
#include "decision/quota/counter_ledger.h"

namespace gateway {

class QuotaAdmission {
public:
    // What becomes of a request that has just arrived.
    enum class Start {
        rejected,   // the last known sums leave no room
        decideNow,  // without waiting for the counter
        waiting,    // for the counter
    };

    struct Decision {
        bool admitted = false;
        Duration retryAfter{};  // when rejected
    };

    // All parts must outlive the admission.
    explicit QuotaAdmission(const CounterLedger::Parts& parts, const CounterLedger& ledger);

    // Charges an arrived request whose class and plan are known.
    Start start(EventContext& context, Request& request) const;

    // Until there is room for a request that start() rejected.
    Duration retryAfter(EventContext& context, const Request& request) const;

    // Decides on a request, from the counter's reply where there is one, else from the last known sums and
    // what this gateway's traffic share makes of its own traffic since. `startedAt`: of this gateway.
    Decision decide(EventContext& context, Request& request, TimePoint startedAt);

private:
    bool fitsWindow(Tenant& tenant, const Request& request, WindowSlice& slice, TimePoint now);
    bool fitsConcurrency(const Tenant& tenant, const QuotaPlan& plan) const;
    double unconfirmedProbability(const Tenant& tenant, const QuotaPlan& plan) const;
    double replyValue(const Tenant& tenant, const WindowSlice& slice, TimePoint now) const;
    double maxSampleWeight(const Tenant& tenant) const;

    CounterLedger::Parts parts_;
    const CounterLedger& ledger_;
    std::vector<double> rejectedShare_;  // by plan: moving share of the counter's replies that left no room
};

}  // namespace gateway
