#include "decision/quota/tenant.h"

namespace gateway {

WindowSlice* findSlice(Tenant& tenant, SliceIndex index) {
    for (WindowSlice& slice : tenant.slices)
        if (slice.index() == index) return &slice;
    return nullptr;
}

}  // namespace gateway
