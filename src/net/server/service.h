// Runs the gateway process: its event loop and its signal handling.
#pragma once

#include <functional>

#include "net/config/config.h"

namespace gateway::net {

// Runs one gateway and returns after a graceful shutdown. Calls `onListening` once, with the address that
// clients connect to.
//
// SIGTERM and SIGINT start the shutdown. SIGHUP reads the file EDGE_CONFIG again and changes the addresses of
// discovery and of the counter service to those in it. The counter's address changes only if both `config`
// and the file have one. If the file is invalid, the error is logged and nothing changes.
//
// Throws SettingsError if the settings are invalid, and boost::system::system_error if listening on the
// configured address fails; a failure that may pass is retried for 3 s before. Once the event loop runs,
// exceptions are logged and affect only the handler that threw.
void serve(const Config& config, const std::function<void(const Config::Address&)>& onListening);

}  // namespace gateway::net
