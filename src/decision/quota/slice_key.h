// Identifies one slice of one tenant, and converts the identifier to and from a name on the counter service.
#pragma once

#include <string>
#include <string_view>

#include "decision/quota/slice_schedule.h"
#include "gateway/types.h"

namespace gateway {

struct SliceKey {
    TenantId tenant{};
    SliceIndex index{};

    friend bool operator==(const SliceKey&, const SliceKey&) = default;
};

// Returns the name under which the counter service keeps the slice's total: "q<tenant>.<index>".
std::string formatSliceKey(const SliceKey& key);

// Returns the slice that a counter name identifies. A number that is missing or malformed is read as 0.
SliceKey parseSliceKey(std::string_view name);

}  // namespace gateway
