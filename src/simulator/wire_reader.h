// Reads the simulator's lines: translates its words into events. Decides nothing.
#pragma once

#include <optional>
#include <string>

#include "gateway/events.h"
#include "settings/json_fields.h"

namespace gateway::simulator {

// The event that a message tells of; nothing for one that a gateway does not use. Throws FieldError where the
// message is malformed or not known.
std::optional<Event> readEvent(const std::string& name, const Fields& fields);

}  // namespace gateway::simulator
