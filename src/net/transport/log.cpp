#include "net/transport/log.h"

#include <iostream>

namespace gateway::net {

namespace {

std::string_view nameOf(LogLevel level) {
    switch (level) {
        case LogLevel::info:
            return "info";
        case LogLevel::warning:
            return "warning";
        case LogLevel::error:
            return "error";
    }
    return "unknown";
}

}  // namespace

void log(LogLevel level, std::string_view component, std::string_view message) {
    std::cerr << "gateway: " << nameOf(level) << ": " << component << ": " << message << '\n';
}

}  // namespace gateway::net
