// The events that a decision engine handles.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "gateway/types.h"

namespace gateway {

// Whether an endpoint may receive attempts.
enum class Availability {
    up,
    draining,  // finishes its attempts, and may receive new ones only during the drain grace period
    removed,
};

// One endpoint as discovery lists it.
struct EndpointEntry {
    EndpointId id;
    Availability availability = Availability::up;
    TimePoint startedAt{};  // latest start of its process; the epoch if it started long ago
    CellId cell{};          // for DeduplicationScope::cell
    MachineKind kind{};
    ZoneId zone{};
    double weight = 1;  // capacity relative to the other endpoints
};

// Which entries an EndpointUpdate contains.
enum class UpdateKind {
    delta,     // the changed ones
    snapshot,  // all listed ones; an endpoint without an entry was removed
    cached,    // a snapshot that may be out of date
    failed,    // none, since discovery could not be reached
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
    TimePoint deadline{};  // when the client stops waiting
    double cost = 1;       // charge to the quota; an estimate with Settings::reconciliationEnabled
    int entryPoints = 1;   // number of gateways that receive this tenant's requests; at least 1
    bool isRetry = false;  // the client has sent it before
};

// How an attempt, or a call to the counter, ended.
enum class Outcome {
    ok,
    error,          // the endpoint responded with an error
    rejected,       // the peer refused it without executing it
    timedOut,       // no complete response in time
    connectFailed,  // no connection could be established
    reset,          // the connection ended, or the response was malformed, after the request was sent
    cancelled,      // CancelAttempt ended it after the request was sent
    notSent,        // this gateway sent no complete request
};

// Load that an endpoint reported. Absent values were not reported.
struct LoadReport {
    std::optional<double> inFlight;  // requests of all gateways in flight at the endpoint
};

// An attempt ended. Exactly one follows each SendAttempt.
struct AttemptEnded {
    RequestId request;
    int attempt = 0;  // position among the attempts of the request, from 0
    EndpointId endpoint;
    Outcome outcome = Outcome::ok;
    Duration elapsed{};
    bool requestClosed = false;               // the request has its final answer, or its client disconnected
    std::optional<double> actualCost;         // with Settings::reconciliationEnabled only
    std::optional<double> quotaUsagePercent;  // of the tenant, over all gateways
    std::optional<LoadReport> loadReport;
};

// An attempt's response has begun. The attempt can no longer be cancelled.
struct StreamStarted {
    RequestId request;
    int attempt = 0;
    EndpointId endpoint;
    Duration elapsed{};
};

// The client disconnected before it had a final answer.
struct ClientDisconnected {
    RequestId request;
};

// A call that AddToCounter requested has ended. The replies for one name arrive in the order of the calls.
struct CounterReplied {
    std::string name;
    Outcome outcome = Outcome::ok;
    double total = 0;  // over all gateways; with Outcome::ok only
    Duration elapsed{};
};

// A timer that SetTimer started has expired.
struct TimerFired {
    TimerId timer{};
};

using Event = std::variant<EndpointUpdate, RequestArrived, AttemptEnded, StreamStarted, ClientDisconnected,
                           CounterReplied, TimerFired>;

}  // namespace gateway
