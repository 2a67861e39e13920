#include "net/client/client_request.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <charconv>
#include <cmath>
#include <cstdint>
#include <optional>
#include <utility>

namespace gateway::net {

namespace http = boost::beast::http;
using boost::beast::string_view;

namespace {

constexpr std::uint64_t kMaxTenants = std::uint64_t{1} << 33;
constexpr std::size_t kMaxIdBytes = 128;
constexpr std::size_t kTenantDigits = 16;  // hexadecimal
constexpr int kHexBase = 16;
constexpr int kMaxDeadlines = 2;  // of its class, that a client may wait

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;

template <class Number>
std::optional<Number> parseInteger(string_view text, int base = 10) {
    Number value{};
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value, base);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
    return value;
}

std::optional<double> parseDecimal(string_view text) {
    double value = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
    return value;
}

// -1 where it is not among the names.
int positionOf(string_view name, const std::vector<std::string>& names) {
    const auto found = std::find_if(names.begin(), names.end(),
                                    [&](const std::string& known) { return name == string_view(known); });
    return found == names.end() ? -1 : static_cast<int>(found - names.begin());
}

std::string toString(string_view text) {
    return {text.data(), text.size()};
}

string_view trimmed(string_view text) {
    while (!text.empty() && text.front() == ' ') text.remove_prefix(1);
    while (!text.empty() && text.back() == ' ') text.remove_suffix(1);
    return text;
}

// The first segment of the path; nothing where the target has no path.
std::optional<string_view> firstSegment(string_view target) {
    if (target.empty() || target.front() != '/') return std::nullopt;
    return target.substr(1, std::min(target.find_first_of("/?", 1), target.size()) - 1);
}

// The header X-Metering, "units=2,spread=3,first=1".
struct Metering {
    std::optional<double> cost;
    std::optional<int> entryPoints;
    std::optional<int> firstEntryPoint;
};

// Nothing where an item is malformed. Items of other names are passed over.
std::optional<Metering> parseMetering(string_view text) {
    Metering metering;
    while (!text.empty()) {
        const auto comma = std::min(text.find(','), text.size());
        const string_view item = trimmed(text.substr(0, comma));
        text.remove_prefix(std::min(comma + 1, text.size()));
        const auto equals = item.find('=');
        if (equals == string_view::npos) return std::nullopt;
        const string_view name = item.substr(0, equals);
        const string_view value = item.substr(equals + 1);
        if (name == "units" && !(metering.cost = parseDecimal(value))) return std::nullopt;
        if (name == "spread" && !(metering.entryPoints = parseInteger<int>(value))) return std::nullopt;
        if (name == "first" && !(metering.firstEntryPoint = parseInteger<int>(value))) return std::nullopt;
    }
    return metering;
}

// False where a value is missing or out of range.
bool readMetering(string_view text, const RequestRules& rules, RequestArrived& arrival) {
    const std::optional<Metering> metering = parseMetering(text);
    if (!metering || !metering->cost || !metering->entryPoints || !metering->firstEntryPoint) return false;
    const double cost = *metering->cost;
    if (!std::isfinite(cost) || cost <= 0 || cost > rules.maxRequestCost) return false;
    const int entryPoints = *metering->entryPoints;
    const int first = *metering->firstEntryPoint;
    if (entryPoints < 1 || entryPoints > rules.gatewayCount) return false;
    if (first < 0 || first >= rules.gatewayCount) return false;
    arrival.cost = cost;
    arrival.entryPoints = entryPoints;
    return true;
}

bool readTenant(string_view text, RequestArrived& arrival) {
    if (text.size() != kTenantDigits) return false;
    const auto number = parseInteger<std::uint64_t>(text, kHexBase);
    if (!number || *number >= kMaxTenants) return false;
    arrival.tenant = TenantId{*number};
    return true;
}

// A client that would wait for hours holds its id and its place no longer than its class's usual ones.
bool readDeadline(string_view text, const RequestClass& terms, TimePoint startedAt, RequestArrived& arrival) {
    const auto patience = parseInteger<std::uint32_t>(text);
    if (!patience || *patience == 0) return false;
    const Duration most = kMaxDeadlines * terms.deadline;
    arrival.deadline = startedAt + std::min<Duration>(std::chrono::milliseconds(*patience), most);
    return true;
}

std::shared_ptr<const ForwardedRequest> forward(const HttpRequest& message, const std::string& id,
                                                bool isSafe) {
    auto forwarded = std::make_shared<ForwardedRequest>();
    forwarded->method = isSafe ? "GET" : "POST";
    forwarded->target = toString(message.target());
    forwarded->host = toString(message[http::field::host]);
    forwarded->id = id;
    forwarded->idempotencyKey = toString(message["Idempotency-Key"]);
    forwarded->body = message.body();
    return forwarded;
}

}  // namespace

std::variant<ClientRequest, RequestError> parseClientRequest(const HttpRequest& message,
                                                             const RequestRules& rules, TimePoint startedAt) {
    const auto path = firstSegment(message.target());
    if (!path) return RequestError{kBadRequest, "target"};
    const int pathClass = positionOf(*path, rules.classNames);
    if (pathClass < 0) return RequestError{kNotFound, "target"};
    const RequestClass& terms = rules.classes[static_cast<std::size_t>(pathClass)];
    const bool isSafe = terms.idempotency == Idempotency::safe;
    if (message.method() != (isSafe ? http::verb::get : http::verb::post))
        return RequestError{kMethodNotAllowed, "method"};
    ClientRequest request;
    RequestArrived& arrival = request.arrival;
    if (positionOf(message["Request-Class"], rules.classNames) != pathClass)
        return RequestError{kBadRequest, "Request-Class"};
    arrival.requestClass = RequestClassIndex{pathClass};
    const int plan = positionOf(message["X-Contract"], rules.planNames);
    if (plan < 0) return RequestError{kBadRequest, "X-Contract"};
    arrival.plan = QuotaPlanIndex{plan};
    const string_view id = message["Request-Id"];
    if (id.empty() || id.size() > kMaxIdBytes) return RequestError{kBadRequest, "Request-Id"};
    if (!readTenant(message["X-Client-Id"], arrival)) return RequestError{kBadRequest, "X-Client-Id"};
    if (!readDeadline(message["Request-Timeout-Ms"], terms, startedAt, arrival))
        return RequestError{kBadRequest, "Request-Timeout-Ms"};
    if (!readMetering(message["X-Metering"], rules, arrival)) return RequestError{kBadRequest, "X-Metering"};
    if (terms.idempotency == Idempotency::withKey && message["Idempotency-Key"].empty())
        return RequestError{kBadRequest, "Idempotency-Key"};
    if (isSafe && !message.body().empty()) return RequestError{kBadRequest, "body"};
    arrival.request = RequestId(toString(id));
    arrival.isRetry = message["Client-Retry"] == "1";
    request.forwarded = forward(message, arrival.request.value(), isSafe);
    return request;
}

bool hasAmbiguousLength(const HttpRequest& message) {
    const auto codings = message.count(http::field::transfer_encoding);
    const auto lengths = message.count(http::field::content_length);
    if (codings == 0) return lengths > 1;
    return codings > 1 || lengths > 0 ||
           !boost::beast::iequals(message[http::field::transfer_encoding], "chunked");
}

}  // namespace gateway::net
