// Runs one gateway until SIGTERM or SIGINT has been answered for. SIGHUP: EDGE_CONFIG is read again, and
// its `discovery` and `counter` take the place of those in use.
#pragma once

#include <functional>

#include "net/config/config.h"

namespace gateway::net {

// `listening` is told the address once clients can connect. Throws where the address can't be had.
void serve(const Config& config, const std::function<void(const Config::Address&)>& listening);

}  // namespace gateway::net
