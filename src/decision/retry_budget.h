// Bounds the further attempts of all requests to a share of their first ones.
#pragma once

namespace gateway {

class RetryBudget {
public:
    // A request's first attempt is sent.
    void onFirstAttempt();

    bool allowsRetry() const { return tokens_ >= 1; }
    void spend() { tokens_ -= 1; }

private:
    static constexpr double kMaxTokens = 10;  // further attempts that may be saved up

    double tokens_ = kMaxTokens;
};

}  // namespace gateway
