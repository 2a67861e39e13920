// Serves the simulator: reads batches of events of many gateways, and answers each with what they do.
#pragma once

#include <istream>
#include <ostream>

#include "settings/input_error.h"

namespace gateway::simulator {

// Answers batches until the input ends. Throws WireError, naming the line, at the first malformed one.
void serve(std::istream& in, std::ostream& out);

}  // namespace gateway::simulator
