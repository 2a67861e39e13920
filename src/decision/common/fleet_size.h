// When a fleet of gateways counts as large. In a large one each gateway uses a subset of the endpoints and
// starts with a lower concurrency limit.
#pragma once

#include "gateway/settings.h"

namespace gateway {

constexpr int kMaxSmallFleet = 10;  // gateways

inline bool isLargeFleet(const Settings& settings) {
    return settings.gatewayCount > kMaxSmallFleet;
}

}  // namespace gateway
