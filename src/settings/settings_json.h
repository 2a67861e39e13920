// Reads a gateway's settings from JSON. The simulator's enlist message and the configuration file contain
// them in the same form.
#pragma once

#include "gateway/settings.h"
#include "settings/json_fields.h"

namespace gateway {

// Throws FieldError if a field is missing or malformed, or if validate() finds a problem.
Settings readSettings(const Fields& fields);

}  // namespace gateway
