#include "net/transport/log.h"

#include <iostream>

namespace gateway::net {

void log(LogLevel level, std::string_view component, std::string_view message) {
    const std::string_view levelName = level == LogLevel::error ? "error" : "warning";
    std::cerr << "gateway: " << levelName << ": " << component << ": " << message << '\n';
}

}  // namespace gateway::net
