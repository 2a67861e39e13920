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

constexpr std::uint64_t kTenantIdEnd = std::uint64_t{1} << 33;  // one past the greatest id
constexpr std::size_t kTenantIdDigits = 16;
constexpr int kHexBase = 16;
constexpr std::size_t kMaxRequestIdBytes = 128;
// A longer timeout is reduced to this multiple of the class's deadline. Limits how long a request id can be
// in use.
constexpr int kMaxTimeoutDeadlineMultiple = 2;

Duration maxTimeout(const RequestClass& requestClass) {
    return kMaxTimeoutDeadlineMultiple * requestClass.deadline;
}

// ---- Values ---------------------------------------------------------------------------------------

// Parses text that is one number and nothing else. Returns nothing for any other text. `format` is passed to
// std::from_chars, for example the base of an integer.
template <class Number, class... Format>
std::optional<Number> parseNumber(string_view text, Format... format) {
    Number value{};
    const char* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value, format...);
    if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
    return value;
}

std::optional<int> findIndex(string_view name, const std::vector<std::string>& names) {
    const auto found = std::find_if(names.begin(), names.end(),
                                    [&](const std::string& known) { return name == string_view(known); });
    if (found == names.end()) return std::nullopt;
    return static_cast<int>(found - names.begin());
}

std::string toString(string_view text) {
    return {text.data(), text.size()};
}

string_view trim(string_view text) {
    while (!text.empty() && text.front() == ' ') text.remove_prefix(1);
    while (!text.empty() && text.back() == ' ') text.remove_suffix(1);
    return text;
}

// Returns the first segment of the target's path, or nothing if the target has no path.
std::optional<string_view> firstPathSegment(string_view target) {
    if (target.empty() || target.front() != '/') return std::nullopt;
    const auto end = std::min(target.find_first_of("/?", 1), target.size());
    return target.substr(1, end - 1);
}

// ---- X-Metering -----------------------------------------------------------------------------------

// The values of the header X-Metering, for example "units=2,spread=3,first=1". Absent values were not sent.
struct Metering {
    std::optional<double> cost;
    std::optional<int> entryPoints;      // number of gateways that receive this tenant's requests
    std::optional<int> firstEntryPoint;  // index of a gateway; only validated
};

// Reads one item, "name=value". Ignores items with unknown names. Returns false if the item is malformed.
bool readMeteringItem(string_view item, Metering& metering) {
    const auto equals = item.find('=');
    if (equals == string_view::npos) return false;
    const string_view name = item.substr(0, equals);
    const string_view value = item.substr(equals + 1);
    if (name == "units") {
        metering.cost = parseNumber<double>(value);
        return metering.cost.has_value();
    }
    if (name == "spread") {
        metering.entryPoints = parseNumber<int>(value);
        return metering.entryPoints.has_value();
    }
    if (name == "first") {
        metering.firstEntryPoint = parseNumber<int>(value);
        return metering.firstEntryPoint.has_value();
    }
    return true;
}

// Returns nothing if an item is malformed.
std::optional<Metering> parseMetering(string_view text) {
    Metering metering;
    while (!text.empty()) {
        const auto comma = std::min(text.find(','), text.size());
        if (!readMeteringItem(trim(text.substr(0, comma)), metering)) return std::nullopt;
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    return metering;
}

// ---- Headers --------------------------------------------------------------------------------------

// Each function reads one header into `arrival`, and returns false if the header is invalid.

bool readMetering(string_view text, const RequestRules& rules, RequestArrived& arrival) {
    const std::optional<Metering> metering = parseMetering(text);
    if (!metering || !metering->cost || !metering->entryPoints || !metering->firstEntryPoint) return false;
    const double cost = *metering->cost;
    if (!std::isfinite(cost) || cost <= 0 || cost > rules.maxRequestCost) return false;
    const int entryPoints = *metering->entryPoints;
    if (entryPoints < 1 || entryPoints > rules.gatewayCount) return false;
    const int first = *metering->firstEntryPoint;
    if (first < 0 || first >= rules.gatewayCount) return false;
    arrival.cost = cost;
    arrival.entryPoints = entryPoints;
    return true;
}

bool readPlan(string_view name, const RequestRules& rules, RequestArrived& arrival) {
    const auto plan = findIndex(name, rules.planNames);
    if (!plan) return false;
    arrival.plan = QuotaPlanIndex{*plan};
    return true;
}

bool readRequestId(string_view text, RequestArrived& arrival) {
    if (text.empty() || text.size() > kMaxRequestIdBytes) return false;
    arrival.request = RequestId(toString(text));
    return true;
}

bool readTenant(string_view text, RequestArrived& arrival) {
    if (text.size() != kTenantIdDigits) return false;
    const auto id = parseNumber<std::uint64_t>(text, kHexBase);
    if (!id || *id >= kTenantIdEnd) return false;
    arrival.tenant = TenantId{*id};
    return true;
}

bool readTimeout(string_view text, const RequestClass& requestClass, TimePoint receivedAt,
                 RequestArrived& arrival) {
    const auto timeoutMs = parseNumber<std::uint32_t>(text);
    if (!timeoutMs || *timeoutMs == 0) return false;
    const Duration timeout = std::chrono::milliseconds(*timeoutMs);
    arrival.deadline = receivedAt + std::min(timeout, maxTimeout(requestClass));
    return true;
}

// ---- Whole requests -------------------------------------------------------------------------------

http::verb methodOf(const RequestClass& requestClass) {
    return requestClass.idempotency == Idempotency::safe ? http::verb::get : http::verb::post;
}

// Reads the headers into `arrival`, and checks the body. Returns the first invalid part of the request, or
// nothing if all are valid. Precondition: the request class of `arrival` is set.
std::optional<RequestField> readHeadersAndCheckBody(const HttpRequest& message, const RequestRules& rules,
                                                    TimePoint receivedAt, RequestArrived& arrival) {
    const int classIndex = static_cast<int>(arrival.requestClass);
    const RequestClass& requestClass = rules.classes[toPosition(arrival.requestClass)];
    if (findIndex(message["Request-Class"], rules.classNames) != classIndex)
        return RequestField::requestClass;
    if (!readPlan(message["X-Contract"], rules, arrival)) return RequestField::plan;
    if (!readRequestId(message["Request-Id"], arrival)) return RequestField::requestId;
    if (!readTenant(message["X-Client-Id"], arrival)) return RequestField::tenant;
    if (!readTimeout(message["Request-Timeout-Ms"], requestClass, receivedAt, arrival))
        return RequestField::timeout;
    if (!readMetering(message["X-Metering"], rules, arrival)) return RequestField::metering;
    if (requestClass.idempotency == Idempotency::withKey && message["Idempotency-Key"].empty())
        return RequestField::idempotencyKey;
    if (requestClass.idempotency == Idempotency::safe && !message.body().empty()) return RequestField::body;
    arrival.isRetry = message["Client-Retry"] == "1";
    return std::nullopt;
}

std::shared_ptr<ForwardedRequest> makeForwardedRequest(HttpRequest&& message, const RequestId& id) {
    auto forwarded = std::make_shared<ForwardedRequest>();
    forwarded->method = toString(http::to_string(message.method()));
    forwarded->target = toString(message.target());
    forwarded->host = toString(message[http::field::host]);
    forwarded->id = id.value();
    forwarded->idempotencyKey = toString(message["Idempotency-Key"]);
    forwarded->body = std::move(message.body());
    return forwarded;
}

}  // namespace

std::variant<ClientRequest, RequestError> parseClientRequest(HttpRequest message, const RequestRules& rules,
                                                             TimePoint receivedAt) {
    const auto className = firstPathSegment(message.target());
    if (!className) return RequestError{http::status::bad_request, RequestField::target};
    const auto classIndex = findIndex(*className, rules.classNames);
    if (!classIndex) return RequestError{http::status::not_found, RequestField::target};
    ClientRequest request;
    request.arrival.requestClass = RequestClassIndex{*classIndex};
    if (message.method() != methodOf(rules.classes[toPosition(request.arrival.requestClass)]))
        return RequestError{http::status::method_not_allowed, RequestField::method};
    if (const auto invalid = readHeadersAndCheckBody(message, rules, receivedAt, request.arrival))
        return RequestError{http::status::bad_request, *invalid};
    request.forwarded = makeForwardedRequest(std::move(message), request.arrival.request);
    return request;
}

Duration maxRequestTime(const RequestRules& rules) {
    Duration longest{};
    for (const RequestClass& requestClass : rules.classes)
        longest = std::max(longest, maxTimeout(requestClass));
    return longest;
}

bool hasAmbiguousLength(const HttpRequest& message) {
    const auto codings = message.count(http::field::transfer_encoding);
    const auto lengths = message.count(http::field::content_length);
    if (codings == 0) return lengths > 1;
    return codings > 1 || lengths > 0 ||
           !boost::beast::iequals(message[http::field::transfer_encoding], "chunked");
}

}  // namespace gateway::net
