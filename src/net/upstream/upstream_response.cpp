#include "net/upstream/upstream_response.h"

#include <algorithm>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/status.hpp>
#include <charconv>
#include <cmath>
#include <optional>
#include <utility>

namespace gateway::net {

namespace http = boost::beast::http;
using boost::beast::string_view;

namespace {

constexpr double kMaxNumber = 1e6;  // larger numbers are treated as not reported

// Parses a decimal number from 0 to kMaxNumber. Trailing spaces are allowed. Returns nothing for any other
// text.
std::optional<double> parseNumber(string_view text) {
    while (!text.empty() && text.back() == ' ') text.remove_suffix(1);
    double value = 0;
    const char* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
    if (!std::isfinite(value) || value < 0 || value > kMaxNumber) return std::nullopt;
    return value;
}

// Parses the header Server-Load, for example "inflight=7,queue=2". The number of requests in flight is the
// item "rif" or "inflight". Other items are ignored.
std::optional<LoadReport> parseLoadReport(string_view text) {
    std::optional<LoadReport> report;
    while (!text.empty()) {
        const auto comma = std::min(text.find(','), text.size());
        string_view item = text.substr(0, comma);
        text.remove_prefix(std::min(comma + 1, text.size()));
        while (!item.empty() && item.front() == ' ') item.remove_prefix(1);
        const auto equals = item.find('=');
        if (equals == string_view::npos) continue;
        const string_view name = item.substr(0, equals);
        if (name != "rif" && name != "inflight") continue;
        if (const auto inFlight = parseNumber(item.substr(equals + 1))) report = LoadReport{*inFlight};
    }
    return report;
}

// An endpoint that did not start the request sends "Not-Started: 1" with status 503 or 504.
Outcome outcomeOf(const HttpResponse& message) {
    const http::status status = message.result();
    if (status == http::status::ok) return Outcome::ok;
    const bool canReportNotStarted =
        status == http::status::service_unavailable || status == http::status::gateway_timeout;
    return canReportNotStarted && message["Not-Started"] == "1" ? Outcome::rejected : Outcome::error;
}

}  // namespace

AttemptResult readAttemptResult(HttpResponse& message) {
    AttemptResult result;
    result.outcome = outcomeOf(message);
    result.loadReport = parseLoadReport(message["Server-Load"]);
    result.quotaUsagePercent = parseNumber(message["X-Meter"]);
    if (result.outcome != Outcome::ok) return result;
    result.actualCost = parseNumber(message["X-Settled"]);
    const string_view contentType = message[http::field::content_type];
    result.contentType.assign(contentType.data(), contentType.size());
    result.body = std::move(message.body());
    return result;
}

}  // namespace gateway::net
