#include "decision/retry_budget.h"

#include <algorithm>

namespace gateway {
namespace {

constexpr double kTokensPerFirstAttempt = 0.2;

}  // namespace

void RetryBudget::onFirstAttempt() {
    tokens_ = std::min(kMaxTokens, tokens_ + kTokensPerFirstAttempt);
}

}  // namespace gateway
