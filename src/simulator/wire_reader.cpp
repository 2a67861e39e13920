#include "simulator/wire_reader.h"

#include <utility>

namespace gateway::simulator {
namespace {

constexpr std::size_t kMaxTimerDigits = 18;  // fit in 64 bits

RequestId readRequestId(const Fields& fields) {
    return RequestId(fields.text("corr"));
}

EndpointId readEndpointId(const Fields& fields) {
    return EndpointId(fields.text("worker"));
}

void checkHex(const Fields& fields, const char* key) {
    const std::string& hex = fields.text(key);
    if (hex.size() % 2 != 0 || hex.find_first_not_of("0123456789abcdefABCDEF") != std::string::npos)
        fields.throwError(key, "must be pairs of hex digits");
}

Outcome readOutcome(const Fields& fields) {
    return fields.choice<Outcome>("code", {{"done", Outcome::ok},
                                           {"err", Outcome::error},
                                           {"busy", Outcome::rejected},
                                           {"etimedout", Outcome::timedOut},
                                           {"econnrefused", Outcome::connectFailed},
                                           {"econnreset", Outcome::reset},
                                           {"ecanceled", Outcome::cancelled},
                                           {"skipped", Outcome::notSent}});
}

std::optional<LoadReport> readLoadReport(const Fields& fields) {
    if (!fields.has("telemetry")) return std::nullopt;
    const Fields telemetry = fields.object("telemetry");
    LoadReport report;
    if (telemetry.has("rif")) report.inFlight = telemetry.number("rif");
    return report;
}

EndpointEntry readEndpoint(const Fields& fields) {
    EndpointEntry entry;
    entry.id = readEndpointId(fields);
    entry.availability = fields.choice<Availability>(
        "availability",
        {{"IN", Availability::up}, {"LAME", Availability::draining}, {"OUT", Availability::removed}});
    entry.startedAt = fields.timePoint("cameUpS", 0);
    entry.cell = CellId{fields.integer("cohort", 0)};
    entry.kind = MachineKind{fields.integer("model", 0)};
    entry.zone = ZoneId{fields.integer("area", 0)};
    entry.weight = fields.number("weight", 1);
    return entry;
}

EndpointUpdate readEndpointUpdate(const Fields& fields) {
    EndpointUpdate update;
    update.kind = fields.choice<UpdateKind>("scope", {{"INCREMENTAL", UpdateKind::delta},
                                                      {"FULL", UpdateKind::snapshot},
                                                      {"SAVED", UpdateKind::cached},
                                                      {"FAILED", UpdateKind::failed}});
    if (!fields.has("items")) return update;
    fields.forEach("items", [&](const Fields& item) { update.entries.push_back(readEndpoint(item)); });
    return update;
}

RequestArrived readRequest(const Fields& fields) {
    RequestArrived arrival;
    arrival.request = readRequestId(fields);
    arrival.requestClass = RequestClassIndex{fields.integer("priority", 0)};
    arrival.plan = QuotaPlanIndex{fields.integer("contract", 0)};
    if (fields.has("account")) arrival.tenant = TenantId{fields.unsignedInteger("account")};
    arrival.deadline = fields.timePoint("notAfterS");
    arrival.cost = fields.number("units", 1);
    arrival.entryPoints = fields.integer("entryPoints", 1);
    arrival.isRetry = fields.flag("isRetry");
    return arrival;
}

AttemptEnded readAttemptEnd(const Fields& fields) {
    AttemptEnded ended;
    ended.request = readRequestId(fields);
    ended.attempt = fields.integer("trial", 0);
    ended.endpoint = readEndpointId(fields);
    ended.outcome = readOutcome(fields);
    ended.elapsed = fields.seconds("waitTimeS", 0);
    ended.requestClosed = fields.flag("last");
    if (const double billed = fields.number("billed", 0); billed > 0) ended.actualCost = billed;
    // The field "metered" holds the percentage plus 1; 0 means that none was reported.
    if (const double metered = fields.number("metered", 0); metered > 0)
        ended.quotaUsagePercent = metered - 1;
    ended.loadReport = readLoadReport(fields);
    return ended;
}

StreamStarted readStreamStart(const Fields& fields) {
    return {readRequestId(fields), fields.integer("trial", 0), readEndpointId(fields),
            fields.seconds("waitTimeS", 0)};
}

CounterReplied readCounterReply(const Fields& fields) {
    return {fields.text("counter"), readOutcome(fields), fields.number("total", 0),
            fields.seconds("waitTimeS", 0)};
}

TimerFired readTimer(const Fields& fields) {
    const std::string& digits = fields.text("ref");
    const bool isNumber = !digits.empty() && digits.size() <= kMaxTimerDigits &&
                          digits.find_first_not_of("0123456789") == std::string::npos;
    if (!isNumber) fields.throwError("ref", "must be the ref of a sleep message; found '" + digits + "'");
    return {TimerId{std::stoull(digits)}};
}

void validateHealthCheckResult(const Fields& fields) {
    readEndpointId(fields);
    readOutcome(fields);
    readLoadReport(fields);
}

void validatePeerMessage(const Fields& fields) {
    fields.integer("author", 0);
    checkHex(fields, "octets");
}

}  // namespace

std::optional<Event> readEvent(const std::string& name, const Fields& fields) {
    if (name == "membership") return readEndpointUpdate(fields);
    if (name == "knock") return readRequest(fields);
    if (name == "settled") return readAttemptEnd(fields);
    if (name == "streaming") return readStreamStart(fields);
    if (name == "lapsed") return ClientDisconnected{readRequestId(fields)};
    if (name == "added") return readCounterReply(fields);
    if (name == "bell") return readTimer(fields);
    // Gateways ignore the results of health checks and the messages of peers, but these must be well-formed.
    if (name == "pingResult")
        validateHealthCheckResult(fields);
    else if (name == "memo")
        validatePeerMessage(fields);
    else
        fields.throwError("", "unknown message");
    return std::nullopt;
}

}  // namespace gateway::simulator
