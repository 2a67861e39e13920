// The counter's name of a tenant's slice, and back.
#pragma once

#include <charconv>
#include <cstdint>
#include <string>
#include <utility>

#include "gateway/types.h"

namespace gateway {

inline std::string sliceName(TenantId id, std::int64_t index) {
    std::string name = "q";
    name.append(std::to_string(static_cast<std::uint64_t>(id))).append(".").append(std::to_string(index));
    return name;
}

// Zeros for what is no such name.
inline std::pair<TenantId, std::int64_t> parseSliceName(const std::string& name) {
    std::uint64_t id = 0;
    std::int64_t index = 0;
    const char* end = name.data() + name.size();
    if (name.empty()) return {TenantId{id}, index};
    const auto first = std::from_chars(name.data() + 1, end, id);
    if (first.ptr < end) std::from_chars(first.ptr + 1, end, index);
    return {TenantId{id}, index};
}

}  // namespace gateway
