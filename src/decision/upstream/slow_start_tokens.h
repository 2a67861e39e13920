// Budget for attempts at one endpoint while it is warming up.
#pragma once

namespace gateway {

// A token is one attempt of mean work. Invariants: saved tokens never exceed the maximum that one gateway may
// save for an endpoint; the same served work is never credited twice. Spending may leave a negative balance,
// since an attempt may cost more than one token.
class SlowStartTokens {
public:
    // Starts the budget with `tokens`. Work that was served before `servedWork` earns nothing.
    // Unit of served work, here and below: requests of mean work, counted up from the gateway's start.
    void start(double tokens, double servedWork);

    // Credits the work served since the previous accrual, in proportion to the endpoint's capacity.
    // Precondition: `fleetCapacity` is above 0, in the same unit as `endpointCapacity`.
    void accrue(double servedWork, double endpointCapacity, double fleetCapacity);

    // Discards the work served since the previous accrual.
    void skip(double servedWork) { accruedAt_ = servedWork; }

    // Charges an attempt of this work, in requests of mean work.
    void spend(double work) { tokens_ -= work; }

    // Whether the budget covers an attempt of mean work.
    bool hasToken() const { return tokens_ >= 1; }

    double tokens() const { return tokens_; }

private:
    double tokens_ = 0;
    double accruedAt_ = 0;  // served work at the latest accrual
};

}  // namespace gateway
