// Translates actions into the simulator's messages.
#pragma once

#include <string>

#include "gateway/actions.h"

namespace gateway::simulator {

// Returns the message for an action of the gateway with this number: one line, without its line end.
std::string writeAction(int gateway, const Action& action);

}  // namespace gateway::simulator
