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
    draining,  // it finishes its attempts and receives new ones only during the drain grace period
    removed,
};

// One endpoint as discovery lists it.
struct EndpointEntry {
    EndpointId id;
    Availability availability = Availability::up;
    TimePoint startedAt{};  // latest start of its process; the epoch: long ago
    CellId cell{};          // for DeduplicationScope::cell
    MachineKind kind{};
    ZoneId zone{};
    double weight = 1;  // capacity relative to the other endpoints
};

// What the entries of an EndpointUpdate are.
enum class UpdateKind {
    delta,     // those that changed
    snapshot,  // all; an endpoint without an entry was removed
    cached,    // a snapshot that may be out of date
    failed,    // none: discovery could not be reached
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
    TimePoint deadline{};  // when the client gives up
    double cost = 1;       // charge to the quota; an estimate with Settings::reconciliationEnabled
    int entryPoints = 1;   // gateways at which this tenant's requests may arrive; 1 or more
    bool isRetry = false;  // the client sent it before
};

// How an attempt, or a call to the counter, ended.
enum class Outcome {
    ok,
    error,          // the endpoint answered with an error
    rejected,       // the peer did not start it
    timedOut,       // no complete response in time
    connectFailed,  // no connection could be made
    reset,          // the connection ended, or the response was malformed, after the request was sent
    cancelled,      // by CancelAttempt, after the request was sent
    notSent,        // this gateway did not send it
};

// What an endpoint reported about its load. Absent values were not reported.
struct LoadReport {
    std::optional<double> inFlight;  // requests of all gateways
};

// An attempt ended. Exactly one follows each SendAttempt.
struct AttemptEnded {
    RequestId request;
    int attempt = 0;  // position in its request, from 0
    EndpointId endpoint;
    Outcome outcome = Outcome::ok;
    Duration elapsed{};
    bool requestClosed = false;               // the request has its final answer, or its client disconnected
    std::optional<double> actualCost;         // with Settings::reconciliationEnabled only
    std::optional<double> quotaUsagePercent;  // of the tenant, over all gateways
    std::optional<LoadReport> loadReport;
};

// The response of an attempt has begun. The attempt can't be cancelled any more.
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

// A call of AddToCounter ended. The replies for one name come in the order of the calls.
struct CounterReplied {
    std::string name;
    Outcome outcome = Outcome::ok;
    double total = 0;  // over all gateways; with Outcome::ok only
    Duration elapsed{};
};

// A timer of SetTimer expired.
struct TimerFired {
    TimerId timer{};
};

using Event = std::variant<EndpointUpdate, RequestArrived, AttemptEnded, StreamStarted, ClientDisconnected,
                           CounterReplied, TimerFired>;

}  // namespace gateway
