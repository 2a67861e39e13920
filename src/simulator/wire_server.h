// Serves the simulator over an input and an output stream.
#pragma once

#include <istream>
#include <ostream>

#include "settings/input_error.h"

namespace gateway::simulator {

// Reads batches of messages from `in`, and writes the reply to each batch to `out`, until `in` ends. Throws
// SimulatorInputError, with the number of the line, at the first malformed line, and if `in` ends within a
// batch.
void serve(std::istream& in, std::ostream& out);

}  // namespace gateway::simulator
