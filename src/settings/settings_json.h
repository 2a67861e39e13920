// The settings of a gateway, as the simulator's first message and EDGE_CONFIG give them.
#pragma once

#include "settings/json_fields.h"

namespace gateway {

// Throws FieldError, naming the place, where something is missing or malformed.
Settings readSettings(const Fields& f);

}  // namespace gateway
