// Identifies one slice of one tenant, and translates it to and from its name on the counter service.
#pragma once

#include <string>
#include <string_view>

#include "decision/quota/slice_schedule.h"
#include "gateway/types.h"

namespace gateway {

// A value; two keys are equal if tenant and index are.
struct SliceKey {
    TenantId tenant{};
    SliceIndex index{};

    friend bool operator==(const SliceKey&, const SliceKey&) = default;
};

// The name under which the counter service keeps the slice's total: "q<tenant>.<index>".
std::string formatSliceKey(const SliceKey& key);

// The slice that a counter name identifies. Does not throw: a number that is missing or malformed is 0.
SliceKey parseSliceKey(std::string_view name);

}  // namespace gateway
