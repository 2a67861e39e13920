// The key under which the decision engine keeps a request.
#pragma once

#include <cstdint>

namespace gateway {

// Assigned by the engine. Unlike the id that the client chooses, a key is never reused.
enum class RequestKey : std::uint64_t { none = 0 };

}  // namespace gateway
