// Reads the settings of a gateway, as the simulator's first message and EDGE_CONFIG give them.
#pragma once

#include "gateway/settings.h"
#include "settings/json_fields.h"

namespace gateway {

// Translates the pages' names into the ones used here. Throws FieldError, naming the place, where something
// is missing, malformed or can't be served.
Settings readSettings(const Fields& fields);

}  // namespace gateway
