#include "net/counter/counter_protocol.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <cmath>

#include "net/transport/http_limits.h"
#include "net/transport/response_framing.h"

namespace gateway::net {

namespace http = boost::beast::http;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kMaxDecimalChars = 400;  // of a double in fixed notation
constexpr std::uint64_t kMaxResponseBytes = 4096;
constexpr auto kFirstFinalStatus = static_cast<unsigned>(http::status::ok);

// Uses fixed notation, because the counter does not accept exponents.
void appendDecimal(std::string& text, double value) {
    std::array<char, kMaxDecimalChars> chars{};
    const auto end =
        std::to_chars(chars.data(), chars.data() + chars.size(), value, std::chars_format::fixed);
    text.append(chars.data(), end.ptr);
}

}  // namespace

void appendCounterCall(std::string& text, const AddToCounter& call, std::string_view host) {
    const auto timeToLive = std::max(milliseconds(1), std::chrono::ceil<milliseconds>(call.timeToLive));
    text.append("POST /v1/count/").append(call.name).append("?add=");
    appendDecimal(text, call.amount);
    text.append("&ttl_ms=").append(std::to_string(timeToLive.count()));
    text.append(" HTTP/1.1\r\nHost: ").append(host).append("\r\nContent-Length: 0\r\n\r\n");
}

std::optional<double> parseCounterTotal(std::string_view body) {
    const std::size_t size = body.find_last_not_of(" \r\n\t") + 1;  // 0 for a body of white space
    const char* const end = body.data() + size;
    double total = 0;
    const auto parsed = std::from_chars(body.data(), end, total);
    if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
    if (!std::isfinite(total)) return std::nullopt;
    return total;
}

CounterResponseParser::Progress CounterResponseParser::read(boost::beast::flat_buffer& input) {
    boost::system::error_code ec;
    const std::size_t used = parser_->put(input.data(), ec);
    input.consume(used);
    if (ec == http::error::need_more) return Progress::incomplete;
    if (hasContentLengthOver(*parser_, kMaxResponseBytes)) return Progress::malformed;
    if (ec || hasUnknownTransferCoding(*parser_)) return Progress::malformed;
    if (!parser_->is_done()) return Progress::incomplete;
    if (parser_->get().result_int() >= kFirstFinalStatus) return Progress::complete;
    reset();
    return Progress::interim;
}

bool CounterResponseParser::endsWithConnection() const {
    return net::endsWithConnection(*parser_);
}

bool CounterResponseParser::completeAtEndOfStream() {
    return net::completeAtEndOfStream(*parser_);
}

CounterResponse CounterResponseParser::takeResponse() {
    const auto& message = parser_->get();
    const CounterResponse response{message.result() == http::status::ok, parseCounterTotal(message.body()),
                                   parser_->keep_alive()};
    reset();
    return response;
}

void CounterResponseParser::reset() {
    parser_.emplace();
    parser_->body_limit(kMaxResponseBytes);
    parser_->eager(true);
}

}  // namespace gateway::net
