// Translates a gateway's actions into messages to the simulator.
#pragma once

#include <string>

#include "gateway/actions.h"

namespace gateway::simulator {

// Returns the message for an action of the gateway with the number `gateway`: one line, without a line end.
std::string writeAction(int gateway, const Action& action);

}  // namespace gateway::simulator
