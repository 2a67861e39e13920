#include "net/config/config.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <functional>
#include <ostream>
#include <string>

namespace gateway::net::test {
namespace {

Json makeConfig() {
    return Json::parse(R"({
        "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "8c1f30d27a5be964",
        "settings": {
            "allowed": {"maxAttempts": 4}, "balancers": 3, "me": 0,
            "classes": [{"aimS": 9, "deadlineS": 9, "effect": "safe", "name": "load"}],
            "contracts": [{"name": "team", "perSecond": 0.01, "depth": 40}, {"name": "free"}],
            "domain": {"mayCount": false}, "rules": {}, "zones": ["a", "b"], "kinds": ["m"]},
        "known": {"index": 41, "snapshot": true, "endpoints": []}})");
}

class ConfigTest : public testing::Test {
protected:
    // Variables of the environment in which the tests run must not override the file.
    void SetUp() override {
        for (const char* variable : {"EDGE_NAME", "EDGE_LISTEN", "EDGE_DISCOVERY"}) ::unsetenv(variable);
    }
    void TearDown() override { ::unsetenv("EDGE_DISCOVERY"); }
};

TEST_F(ConfigTest, ReadsAddressesSeedNamesAndKnownEndpoints) {
    const Config config = readConfig(makeConfig().dump());
    EXPECT_EQ(config.listen, parseAddress("127.0.0.1:0", "test"));
    EXPECT_EQ(config.discovery, parseAddress("127.0.0.1:1", "test"));
    EXPECT_FALSE(config.counter);
    EXPECT_EQ(config.seed, 0x8c1f30d27a5be964U);
    EXPECT_EQ(config.maxDescriptors, 1024U);
    EXPECT_EQ(config.classNames, std::vector<std::string>{"load"});
    EXPECT_EQ(config.planNames, (std::vector<std::string>{"team", "free"}));
    EXPECT_EQ(config.zoneAndKindNames.zones, (std::vector<std::string>{"a", "b"}));
    EXPECT_EQ(config.cachedEndpoints.version, 41U);
}

TEST_F(ConfigTest, EnvironmentOverridesDiscoveryOnlyInInitialLoad) {
    ::setenv("EDGE_DISCOVERY", "127.0.0.1:2", 1);
    const std::string text = makeConfig().dump();
    EXPECT_EQ(readConfig(text, ConfigLoad::initial).discovery.port(), 2);
    EXPECT_EQ(readConfig(text, ConfigLoad::reload).discovery.port(), 1);
    Json withoutDiscovery = makeConfig();
    withoutDiscovery.erase("discovery");
    EXPECT_EQ(readConfig(withoutDiscovery.dump(), ConfigLoad::reload).discovery.port(), 2);
}

TEST_F(ConfigTest, RejectsTextThatIsNotJson) {
    try {
        readConfig("{");
        FAIL();
    } catch (const ConfigError& e) {
        EXPECT_NE(std::string(e.what()).find("is not valid JSON"), std::string::npos) << e.what();
    }
}

struct InvalidConfigCase {
    const char* name;
    std::function<void(Json&)> modify;
    const char* place;
};

std::ostream& operator<<(std::ostream& out, const InvalidConfigCase& param) {
    return out << param.name;
}

class InvalidConfigTest : public ConfigTest, public testing::WithParamInterface<InvalidConfigCase> {};

TEST_P(InvalidConfigTest, ThrowsConfigErrorThatNamesThePlace) {
    Json config = makeConfig();
    GetParam().modify(config);
    try {
        readConfig(config.dump());
        FAIL();
    } catch (const ConfigError& e) {
        EXPECT_EQ(e.place(), GetParam().place) << e.what();
    }
}

INSTANTIATE_TEST_SUITE_P(
    Fields, InvalidConfigTest,
    testing::Values(
        InvalidConfigCase{"ListenAddress", [](Json& config) { config["listen"] = "here"; }, "EDGE_LISTEN"},
        InvalidConfigCase{"MissingClasses", [](Json& config) { config["settings"].erase("classes"); },
                          "config.settings.classes"},
        InvalidConfigCase{"MissingCounter",
                          [](Json& config) { config["settings"]["domain"]["mayCount"] = true; },
                          "config.counter"},
        InvalidConfigCase{"Seed", [](Json& config) { config["seed"] = "xyz"; }, "config.seed"},
        InvalidConfigCase{"TooFewSockets", [](Json& config) { config["limits"]["sockets"] = 63; },
                          "config.limits.sockets"},
        InvalidConfigCase{"ZonesNotAList", [](Json& config) { config["settings"]["zones"] = "a"; },
                          "config.settings.zones"}),
    [](const auto& testCase) { return testCase.param.name; });

}  // namespace
}  // namespace gateway::net::test
