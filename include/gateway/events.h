// The events that a decision engine handles.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "gateway/types.h"

namespace gateway {

enum class Availability { up, draining, removed };

// One endpoint as discovery lists it.
struct EndpointEntry {
    EndpointId endpoint;
    Availability availability = Availability::up;
    TimePoint startedAt{};  // of its latest start; 0: long ago
    CellId cell{};          // for DeduplicationScope::cell
    MachineKind kind{};
    ZoneId zone{};      // where it runs
    double weight = 1;  // its share of the traffic, relative to the others'
};

enum class UpdateKind {
    delta,     // the entries are those that changed
    snapshot,  // an endpoint that is not among the entries was removed
    cached,    // a snapshot that may be old
    failed,    // discovery could not be asked; there are no entries
};

// Discovery reported the endpoint set, or a change of it.
struct EndpointUpdate {
    UpdateKind kind = UpdateKind::delta;
    std::vector<EndpointEntry> entries;
};

// A client sent a request.
struct RequestArrived {
    RequestId request;
    RequestClassIndex requestClass{};
    QuotaPlanIndex plan{};
    TenantId tenant{};
    TimePoint deadline{};  // when the client abandons this try
    double cost = 1;       // what it charges to the quota; an estimate with Settings::reconciliationEnabled
    int entryPoints = 1;   // gateways through which this tenant's requests may come; 1 or more
    bool isRetry = false;
};

// How an attempt, or a call to the counter, ended.
enum class Outcome { ok, error, rejected, timedOut, connectFailed, reset, cancelled, notSent };

// What an endpoint reported of itself; absent values were not reported.
struct LoadReport {
    std::optional<double> inFlight;  // requests, of all gateways
};

// An attempt is over. Every SendAttempt causes exactly one.
struct AttemptEnded {
    RequestId request;
    int attempt = 0;  // number of the attempt in its request, from 0
    EndpointId endpoint;
    Outcome outcome = Outcome::ok;
    Duration elapsed{};
    bool closed = false;                   // the request has its final answer, or its client left
    std::optional<double> trueCost;        // with Settings::reconciliationEnabled
    std::optional<double> meteredPercent;  // how much of its quota the tenant uses, over all gateways
    std::optional<LoadReport> report;
};

// The response of an attempt has begun; it can't be cancelled any more.
struct StreamStarted {
    RequestId request;
    int attempt = 0;
    EndpointId endpoint;
    Duration elapsed{};
};

// The client left before it had a final answer.
struct ClientDisconnected {
    RequestId request;
};

// The counter replied to an AddToCounter, or did not. Replies for one name come in the order of the calls.
struct CounterReplied {
    std::string name;
    Outcome outcome = Outcome::ok;
    double total = 0;  // over all gateways; with Outcome::ok only
    Duration elapsed{};
};

// A timer of SetTimer has run down.
struct TimerFired {
    TimerId timer{};
};

using Event = std::variant<EndpointUpdate, RequestArrived, AttemptEnded, StreamStarted, ClientDisconnected,
                           CounterReplied, TimerFired>;

}  // namespace gateway
