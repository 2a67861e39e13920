// The process's log: one line a message on standard error.
#pragma once

#include <string_view>

namespace gateway::net {

enum class LogLevel { warning, error };

// Writes "gateway: LEVEL: COMPONENT: MESSAGE". `message` must be one line.
void log(LogLevel level, std::string_view component, std::string_view message);

}  // namespace gateway::net
