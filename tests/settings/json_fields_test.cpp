#include "settings/json_fields.h"

#include <gtest/gtest.h>

#include <functional>
#include <ostream>
#include <string>
#include <vector>

namespace gateway::test {
namespace {

class FieldsTest : public testing::Test {
protected:
    const Json object = Json::parse(R"({
        "number": 2.5, "whole": 7, "negative": -7, "flag": true, "text": "word", "none": null,
        "items": [{"a": 1}, {"a": 2}]})");
    const Fields fields{object, "root"};
};

TEST_F(FieldsTest, ReadsValuesOfEachType) {
    EXPECT_EQ(fields.number("number"), 2.5);
    EXPECT_EQ(fields.integer("negative"), -7);
    EXPECT_EQ(fields.unsignedInteger("whole"), 7U);
    EXPECT_TRUE(fields.flag("flag"));
    EXPECT_EQ(fields.text("text"), "word");
    EXPECT_EQ(fields.seconds("number"), std::chrono::milliseconds(2500));
    EXPECT_EQ(fields.timePoint("whole"), TimePoint(std::chrono::seconds(7)));
    EXPECT_EQ(fields.choice<int>("text", {{"other", 1}, {"word", 2}}), 2);
}

TEST_F(FieldsTest, UsesDefaultsForMissingAndNullFields) {
    for (const char* key : {"missing", "none"}) {
        EXPECT_FALSE(fields.has(key));
        EXPECT_EQ(fields.number(key, 4), 4);
        EXPECT_EQ(fields.integer(key, 4), 4);
        EXPECT_FALSE(fields.flag(key));
        EXPECT_EQ(fields.text(key, "default"), "default");
        EXPECT_EQ(fields.seconds(key, 4), std::chrono::seconds(4));
    }
}

TEST_F(FieldsTest, VisitsItemsOfList) {
    std::vector<int> values;
    fields.forEach("items", [&](const Fields& item) { values.push_back(item.integer("a")); });
    EXPECT_EQ(values, (std::vector<int>{1, 2}));
}

struct FieldErrorCase {
    const char* name;
    std::function<void(const Fields&)> read;
    const char* error;
};

std::ostream& operator<<(std::ostream& out, const FieldErrorCase& param) {
    return out << param.name;
}

class FieldErrorTest : public FieldsTest, public testing::WithParamInterface<FieldErrorCase> {};

TEST_P(FieldErrorTest, NamesPlaceAndReason) {
    try {
        GetParam().read(fields);
        FAIL();
    } catch (const FieldError& e) {
        EXPECT_STREQ(e.what(), GetParam().error);
    }
}

INSTANTIATE_TEST_SUITE_P(
    Reads, FieldErrorTest,
    testing::Values(
        FieldErrorCase{"Missing", [](const Fields& fields) { fields.number("missing"); },
                       "root.missing: is missing"},
        FieldErrorCase{"NotANumber", [](const Fields& fields) { fields.number("text"); },
                       "root.text: must be a number, found string"},
        FieldErrorCase{"NotWhole", [](const Fields& fields) { fields.integer("number"); },
                       "root.number: must be a whole number from -2000000000 to 2000000000"},
        FieldErrorCase{"Negative", [](const Fields& fields) { fields.unsignedInteger("negative"); },
                       "root.negative: must be a whole number of 0 or more"},
        FieldErrorCase{"NotAFlag", [](const Fields& fields) { fields.flag("number"); },
                       "root.number: must be true or false, found number"},
        FieldErrorCase{"NotText", [](const Fields& fields) { fields.text("flag"); },
                       "root.flag: must be a string, found boolean"},
        FieldErrorCase{"NotAnObject", [](const Fields& fields) { fields.object("text"); },
                       "root.text: must be an object, found string"},
        FieldErrorCase{"NotAList", [](const Fields& fields) { fields.forEach("text", [](const Fields&) {}); },
                       "root.text: must be an array, found string"},
        FieldErrorCase{"UnknownWord",
                       [](const Fields& fields) {
                           fields.choice<int>("text", {{"a", 1}});
                       },
                       "root.text: must be one of 'a', found 'word'"},
        FieldErrorCase{
            "InItem",
            [](const Fields& fields) { fields.forEach("items", [](const Fields& item) { item.text("a"); }); },
            "root.items[0].a: must be a string, found number"}),
    [](const auto& testCase) { return testCase.param.name; });

}  // namespace
}  // namespace gateway::test
