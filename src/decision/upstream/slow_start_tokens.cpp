#include "decision/upstream/slow_start_tokens.h"

#include <algorithm>

namespace gateway {
namespace {

constexpr double kMaxTokens = 1.5;  // that one gateway may save for one endpoint

}  // namespace

void SlowStartTokens::start(double tokens, double servedWork) {
    tokens_ = tokens;
    servedWorkAtAccrual_ = servedWork;
}

void SlowStartTokens::accrue(double servedWork, double endpointCapacity, double totalCapacity) {
    const double served = servedWork - servedWorkAtAccrual_;
    servedWorkAtAccrual_ = servedWork;
    tokens_ = std::min(kMaxTokens, tokens_ + endpointCapacity * served / totalCapacity);
}

}  // namespace gateway
