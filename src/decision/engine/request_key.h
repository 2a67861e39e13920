// The key under which the decision module keeps a request.
#pragma once

#include <cstdint>

namespace gateway {

// Numbers a request; unlike a client's id it never comes twice.
enum class RequestKey : std::uint64_t { none = 0 };

}  // namespace gateway
