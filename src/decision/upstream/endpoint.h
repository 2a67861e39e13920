// What a gateway keeps of one endpoint. State alone; nothing is decided here.
#pragma once

#include "gateway/events.h"

namespace gateway {

// Its load and speed, as reports and responses tell.
struct EndpointLoad {
    double othersInFlight = 0;  // attempts of the other gateways, by its reports
    double slowness = 1;        // its latency in means of the requests' classes
    TimePoint observedAt{};     // its latest outcome
};

// Whether it is left out for its failures (outlier ejection).
struct EndpointHealth {
    double errorShare = 0;  // moving share of attempts that failed fast
    TimePoint ejectedUntil{};
    bool onProbation = false;  // back from ejection, one attempt at a time until it serves one
    int consecutiveEjections = 0;
};

// How many own attempts may be in flight there.
struct EndpointLimit {
    double maxInFlight = 0;
    TimePoint cutAt{};
};

// What it may be sent while it is warming up.
struct SlowStartTokens {
    double tokens = 0;     // attempts of mean work
    double accruedAt = 0;  // the fleet's served work, when tokens last accrued
};

struct Endpoint {
    EndpointEntry entry;
    bool usable = false;  // listed and not draining
    int inFlight = 0;     // own attempts
    // Of the warm endpoints, or of those that are warming up, the share that this gateway's subset holds; 0:
    // the subset does not hold this one.
    double subsetShare = 1;
    EndpointLoad load;
    EndpointHealth health;
    EndpointLimit limit;
    SlowStartTokens slowStart;
};

}  // namespace gateway
