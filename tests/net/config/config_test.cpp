// The configuration of a gateway process.
#include "net/config/config.h"

#include <gtest/gtest.h>

#include <list>
#include <memory>

#include "support/gateway_test.h"

namespace gateway::net::test {
namespace {

TEST(Config, WhatIsWrongIsNamed) {
    const auto complaint = [](const std::string& text) -> std::string {
        try {
            readConfig(text);
        } catch (const std::exception& e) {
            return e.what();
        }
        return "";
    };
    Json config{{"listen", "127.0.0.1:0"},
                {"discovery", "127.0.0.1:1"},
                {"seed", "1"},
                {"settings", Json::parse(settingsDocument())}};
    EXPECT_EQ(complaint(config.dump()), "");
    EXPECT_TRUE(contains(complaint("{"), "not JSON"));
    Json bad = config;
    bad["listen"] = "here";
    EXPECT_TRUE(contains(complaint(bad.dump()), "EDGE_LISTEN"));
    bad = config;
    bad["settings"].erase("classes");
    EXPECT_TRUE(contains(complaint(bad.dump()), "config.settings.classes"));
    bad = config;
    bad["settings"]["domain"]["mayCount"] = true;
    EXPECT_TRUE(contains(complaint(bad.dump()), "counter"));
}

}  // namespace
}  // namespace gateway::net::test
