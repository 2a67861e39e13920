#include "net/upstream/upstream_response.h"

#include <algorithm>
#include <boost/beast/http/field.hpp>
#include <charconv>
#include <cmath>
#include <utility>

namespace gateway::net {

namespace http = boost::beast::http;
using boost::beast::string_view;

namespace {

constexpr double kMaxFigure = 1e6;  // more is none
constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

std::optional<double> parseFigure(string_view text) {
    while (!text.empty() && text.back() == ' ') text.remove_suffix(1);
    double value = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
    if (!std::isfinite(value) || value < 0 || value > kMaxFigure) return std::nullopt;
    return value;
}

// The header Server-Load, "inflight=7,queue=2", by the names of the settings or of the documents. Items of
// other names are passed over.
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
        if (const auto value = parseFigure(item.substr(equals + 1))) report = LoadReport{*value};
    }
    return report;
}

Outcome outcomeOf(const HttpResponse& message) {
    const int status = static_cast<int>(message.result_int());
    if (status == kOk) return Outcome::ok;
    const bool mayTellNotStarted = status == kUnavailable || status == kGatewayTimeout;
    return mayTellNotStarted && message["Not-Started"] == "1" ? Outcome::rejected : Outcome::error;
}

}  // namespace

AttemptResult readAttemptResult(HttpResponse& message) {
    AttemptResult result;
    result.outcome = outcomeOf(message);
    result.report = parseLoadReport(message["Server-Load"]);
    result.meteredPercent = parseFigure(message["X-Meter"]);
    if (result.outcome != Outcome::ok) return result;
    result.trueCost = parseFigure(message["X-Settled"]);
    const string_view type = message[http::field::content_type];
    result.contentType.assign(type.data(), type.size());
    result.body = std::move(message.body());
    return result;
}

}  // namespace gateway::net
