// Measurements of one finished attempt.
#pragma once

namespace gateway {

// Share of slow responses at which the concurrency limit is stable.
constexpr double kTargetSlowShare = 0.1;

// Share of its latency objective above which a response counts as slow.
constexpr double kSlowObjectiveShare = 0.6;

// A finished attempt, measured against its request class.
struct AttemptSample {
    double seconds = 0;         // elapsed time of the attempt
    double objectiveShare = 0;  // elapsed time divided by RequestClass::latencyObjective, without the stretch
    double classMeanSeconds = 0;       // mean of the class, including this sample; 0: no sample yet
    bool completedUnstreamed = false;  // a complete response that was not streamed
    bool timedOut = false;
    bool slow = false;               // a slow response, or a timeout
    bool indicatesOverload = false;  // slow, or rejected by the endpoint

    // Whether the elapsed time measures the speed of the endpoint.
    bool hasLatency() const { return completedUnstreamed || timedOut; }
};

}  // namespace gateway
