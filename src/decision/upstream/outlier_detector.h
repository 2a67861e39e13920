// Outlier ejection: leaves out endpoints that fail fast, and tries them again one attempt at a time.
#pragma once

#include "decision/upstream/endpoint.h"

namespace gateway {

class OutlierDetector {
public:
    // Learns from an attempt that ended.
    static void observe(EndpointHealth& health, Outcome outcome, TimePoint now);

    // The endpoint should get no attempt now.
    static bool isEjected(const Endpoint& endpoint, TimePoint now);

    // Whether ejections are heeded while `ejected` of `usable` endpoints are ejected: never so many that the
    // rest drown.
    static bool isEjectionHeeded(int ejected, int usable);

private:
    static void eject(EndpointHealth& health, TimePoint now);
};

}  // namespace gateway
