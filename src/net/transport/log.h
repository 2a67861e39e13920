// The process's log: one line for each message on standard error. docs/operations.md lists the messages.
#pragma once

#include <string_view>

namespace gateway::net {

enum class LogLevel { warning, error };

// Writes "gateway: LEVEL: COMPONENT: MESSAGE". Precondition: `component` and `message` contain no line break.
void log(LogLevel level, std::string_view component, std::string_view message);

}  // namespace gateway::net
