// Reads a gateway's settings, as the simulator's first message and EDGE_CONFIG contain them. This is the only
// place that knows the names of their fields.
#pragma once

#include "gateway/settings.h"
#include "settings/json_fields.h"

namespace gateway {

// Translates the settings. Throws FieldError, with the place, if a field is missing or malformed or if
// validate() finds a problem.
Settings readSettings(const Fields& fields);

}  // namespace gateway
