#include "net/counter/counter_protocol.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace gateway::net {
namespace {

constexpr std::size_t kMaxDigits = 400;  // of a double in fixed notation
constexpr Duration::rep kMicrosPerMilli = 1000;

// In fixed notation: an exponent is no decimal number to the counter.
void appendDecimal(std::string& text, double value) {
    std::array<char, kMaxDigits> digits{};
    const auto end =
        std::to_chars(digits.data(), digits.data() + digits.size(), value, std::chars_format::fixed);
    text.append(digits.data(), end.ptr);
}

}  // namespace

void appendCounterCall(std::string& text, const AddToCounter& add, std::string_view host) {
    const auto roundedUp = (add.keepFor.count() + kMicrosPerMilli - 1) / kMicrosPerMilli;
    const auto millis = std::max<Duration::rep>(1, roundedUp);
    text.append("POST /v1/count/").append(add.name).append("?add=");
    appendDecimal(text, add.amount);
    text.append("&ttl_ms=").append(std::to_string(millis));
    text.append(" HTTP/1.1\r\nHost: ").append(host).append("\r\nContent-Length: 0\r\n\r\n");
}

std::variant<double, CounterReplyError> parseCounterTotal(std::string_view body) {
    const std::size_t size = body.find_last_not_of(" \r\n\t") + 1;  // 0 where nothing else is in it
    double total = 0;
    const auto parsed = std::from_chars(body.data(), body.data() + size, total);
    if (parsed.ec != std::errc() || parsed.ptr != body.data() + size)
        return CounterReplyError{"not a decimal number"};
    if (!std::isfinite(total)) return CounterReplyError{"not a finite number"};
    return total;
}

}  // namespace gateway::net
