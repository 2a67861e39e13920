// Translates the simulator's messages into events. This and wire_writer are the only places that know their
// names.
#pragma once

#include <optional>
#include <string>

#include "gateway/events.h"
#include "settings/json_fields.h"

namespace gateway::simulator {

// Returns the event of a message, or nothing for a message that gateways check and ignore. Throws FieldError
// if the message is malformed or unknown.
std::optional<Event> readEvent(const std::string& name, const Fields& fields);

}  // namespace gateway::simulator
