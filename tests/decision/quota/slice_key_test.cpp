#include "decision/quota/slice_key.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <limits>
#include <ostream>
#include <string>

namespace gateway {
namespace {

struct SliceKeyCase {
    const char* label;
    std::string name;
    SliceKey key;

    friend std::ostream& operator<<(std::ostream& out, const SliceKeyCase& row) { return out << row.label; }
};

std::string labelOf(const testing::TestParamInfo<SliceKeyCase>& info) {
    return info.param.label;
}

SliceKey makeKey(std::uint64_t tenant, std::int64_t index) {
    return {TenantId{tenant}, SliceIndex{index}};
}

class SliceKeyNameTest : public testing::TestWithParam<SliceKeyCase> {};

TEST_P(SliceKeyNameTest, FormatsAndParsesTheSameName) {
    EXPECT_EQ(formatSliceKey(GetParam().key), GetParam().name);
    EXPECT_EQ(parseSliceKey(GetParam().name), GetParam().key);
}

INSTANTIATE_TEST_SUITE_P(Names, SliceKeyNameTest,
                         testing::Values(SliceKeyCase{"Zeros", "q0.0", makeKey(0, 0)},
                                         SliceKeyCase{"Ordinary", "q5.25", makeKey(5, 25)},
                                         SliceKeyCase{"NegativeIndex", "q5.-1", makeKey(5, -1)},
                                         SliceKeyCase{"MaxTenant", "q18446744073709551615.3",
                                                      makeKey(std::numeric_limits<std::uint64_t>::max(), 3)}),
                         labelOf);

class MalformedSliceKeyTest : public testing::TestWithParam<SliceKeyCase> {};

TEST_P(MalformedSliceKeyTest, ReadsMissingNumbersAsZero) {
    EXPECT_EQ(parseSliceKey(GetParam().name), GetParam().key);
}

INSTANTIATE_TEST_SUITE_P(Names, MalformedSliceKeyTest,
                         testing::Values(SliceKeyCase{"Empty", "", makeKey(0, 0)},
                                         SliceKeyCase{"PrefixOnly", "q", makeKey(0, 0)},
                                         SliceKeyCase{"NoIndex", "q7", makeKey(7, 0)},
                                         SliceKeyCase{"EmptyIndex", "q7.", makeKey(7, 0)},
                                         SliceKeyCase{"Letters", "nonsense", makeKey(0, 0)}),
                         labelOf);

}  // namespace
}  // namespace gateway
