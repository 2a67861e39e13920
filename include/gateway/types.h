// Units and identifiers that settings, events and actions share.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace gateway {

// A span of time; microseconds are the finest unit that the protocol tells.
using Duration = std::chrono::microseconds;

// A moment, counted from an epoch that all gateways of a fleet share: the names of window slices on the
// counter and the start times of endpoints are told in it.
using Time = std::chrono::microseconds;

using RequestId = std::string;   // as the client chose it; unique while the request is in flight
using EndpointId = std::string;  // the name under which discovery lists an endpoint
using TenantId = std::uint64_t;  // the holder of a quota

}  // namespace gateway
