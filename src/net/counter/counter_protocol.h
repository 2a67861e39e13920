// The counter service's HTTP form.
#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "gateway/actions.h"

namespace gateway::net {

// Appends a call that adds to a name. `host`: the counter's address.
void appendCounterCall(std::string& text, const AddToCounter& add, std::string_view host);

// A reply whose body is no total: what came of the call is not known.
struct CounterReplyError {
    std::string_view reason;
};

// The total that a reply's body tells: one finite decimal number, and white space behind it.
std::variant<double, CounterReplyError> parseCounterTotal(std::string_view body);

}  // namespace gateway::net
