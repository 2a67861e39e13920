// The log of the process: one line on standard error for each message. docs/operations.md lists the messages.
#pragma once

#include <string_view>

namespace gateway::net {

enum class LogLevel { info, warning, error };

// Writes "gateway: LEVEL: COMPONENT: MESSAGE". Precondition: `component` and `message` contain no line break.
void log(LogLevel level, std::string_view component, std::string_view message);

}  // namespace gateway::net
