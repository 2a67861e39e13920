#include "decision/quota/slice_key.h"

#include <charconv>
#include <cstdint>

namespace gateway {

std::string formatSliceKey(const SliceKey& key) {
    std::string name = "q";
    name.append(std::to_string(static_cast<std::uint64_t>(key.tenant)));
    name.append(".");
    name.append(std::to_string(static_cast<std::int64_t>(key.index)));
    return name;
}

SliceKey parseSliceKey(std::string_view name) {
    std::uint64_t tenant = 0;
    std::int64_t index = 0;
    if (name.empty()) return {};
    const char* end = name.data() + name.size();
    const auto parsed = std::from_chars(name.data() + 1, end, tenant);
    if (parsed.ptr < end) std::from_chars(parsed.ptr + 1, end, index);
    return {TenantId{tenant}, SliceIndex{index}};
}

}  // namespace gateway
