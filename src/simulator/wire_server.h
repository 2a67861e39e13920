// Serves the simulator on a pair of streams.
#pragma once

#include <istream>
#include <ostream>

#include "settings/input_error.h"

namespace gateway::simulator {

// Reads batches of events from `in` and writes a reply to each to `out`, until `in` ends. Throws
// SimulatorInputError, with the number of the line, at the first malformed line, and if `in` ends within a
// batch.
void serve(std::istream& in, std::ostream& out);

}  // namespace gateway::simulator
