// Budget of this gateway for attempts at one endpoint while that is warming up.
#pragma once

namespace gateway {

// A token pays for one attempt of mean work. Invariants: accrual never raises the balance above its maximum;
// the same served work is never credited twice. The balance may become negative without a bound, since an
// attempt may cost more than one token, and attempts at a warm endpoint are charged without being limited.
class SlowStartTokens {
public:
    // Starts the budget with `tokens`. `servedWork`, here and below: the total work served since the gateway
    // started, in requests of mean work. Work served before this call earns nothing.
    void start(double tokens, double servedWork);

    // Credits the work served since the previous accrual, in proportion to the endpoint's capacity.
    // Precondition: `totalCapacity` is above 0, in the same unit as `endpointCapacity`.
    void accrue(double servedWork, double endpointCapacity, double totalCapacity);

    // Discards the work served since the previous accrual.
    void skip(double servedWork) { servedWorkAtAccrual_ = servedWork; }

    // Charges an attempt. `work`: in requests of mean work.
    void spend(double work) { tokens_ -= work; }

    // Whether the budget covers an attempt of mean work.
    bool hasToken() const { return tokens_ >= 1; }

    double tokens() const { return tokens_; }

private:
    double tokens_ = 0;
    double servedWorkAtAccrual_ = 0;  // total served work at the latest accrual
};

}  // namespace gateway
