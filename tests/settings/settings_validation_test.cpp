// Tests of validate(), which the engine's constructor calls as well.
#include <gtest/gtest.h>

#include "gateway/decision_engine.h"
#include "support/engine_fixture.h"

namespace gateway {
namespace {

TEST(SettingsValidationTest, AcceptsPlainSettings) {
    EXPECT_FALSE(validate(plainSettings()));
}

TEST(SettingsValidationTest, NamesFieldOfNegativeRate) {
    Settings settings = plainSettings();
    settings.plans[0].rate = -1;
    const auto problem = validate(settings);
    ASSERT_TRUE(problem);
    EXPECT_EQ(problem->field, "plans[0].rate");
    EXPECT_THROW(DecisionEngine(settings, 1), SettingsError);
}

TEST(SettingsValidationTest, NamesFieldOfMissingClasses) {
    Settings settings = plainSettings();
    settings.classes.clear();
    const auto problem = validate(settings);
    ASSERT_TRUE(problem);
    EXPECT_EQ(problem->field, "classes");
    EXPECT_THROW(DecisionEngine(settings, 1), SettingsError);
}

}  // namespace
}  // namespace gateway
