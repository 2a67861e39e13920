// Writes the simulator's lines: translates actions into its words. Decides nothing.
#pragma once

#include <string>

#include "gateway/actions.h"

namespace gateway::simulator {

// One line, without its end, that tells what the gateway with this number does.
std::string writeAction(int gateway, const Action& action);

}  // namespace gateway::simulator
