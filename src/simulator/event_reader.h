// Translates the simulator's messages into events.
#pragma once

#include <optional>
#include <string>

#include "gateway/events.h"
#include "settings/json_fields.h"

namespace gateway::simulator {

// Returns the event that a message reports, or nothing for a message that is only validated. Throws
// FieldError if the message is malformed or its name is unknown.
std::optional<Event> readEvent(const std::string& name, const Fields& fields);

}  // namespace gateway::simulator
