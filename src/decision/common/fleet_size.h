// Tells large fleets of gateways from small ones. In a large fleet, each gateway uses a subset of the
// endpoints and starts with a lower concurrency limit.
#pragma once

#include "gateway/settings.h"

namespace gateway {

constexpr int kMaxSmallFleet = 10;  // gateways

inline bool isLargeFleet(const Settings& settings) {
    return settings.gatewayCount > kMaxSmallFleet;
}

}  // namespace gateway
