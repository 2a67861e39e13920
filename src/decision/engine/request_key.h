// The key under which the decision engine keeps a request.
#pragma once

#include <cstdint>

namespace gateway {

// Chosen by the engine. Unlike the id that a client chose, a key is never used twice.
enum class RequestKey : std::uint64_t { none = 0 };

}  // namespace gateway
