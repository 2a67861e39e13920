// Parsing of discovery's documents.
#include "net/discovery/endpoint_list.h"

#include <gtest/gtest.h>

#include <string>

namespace gateway::net::test {
namespace {

const ZoneAndKindNames kZoneAndKindNames{{"a", "b"}, {"m1", "m2"}};

Json makeDocument() {
    return Json::parse(R"({"index":41,"snapshot":true,"endpoints":[
        {"name":"s-1","address":"10.1.0.18:7070","zone":"b","type":"m2","group":3,"status":"in_service",
         "weight":1.5,"since_ms":1700000000123}]})");
}

EndpointList parse(const Json& document) {
    return parseEndpointList(document.dump(), kZoneAndKindNames);
}

TEST(EndpointListTest, TranslatesDocument) {
    const EndpointList list = parse(makeDocument());
    EXPECT_EQ(list.version, 41U);
    EXPECT_TRUE(list.isSnapshot);
    ASSERT_EQ(list.endpoints.size(), 1U);
    const ResolvedEndpoint& endpoint = list.endpoints.front();
    EXPECT_EQ(endpoint.address, parseAddress("10.1.0.18:7070", "test"));
    EXPECT_EQ(endpoint.entry.id, EndpointId("s-1"));
    EXPECT_EQ(endpoint.entry.availability, Availability::up);
    EXPECT_EQ(endpoint.entry.zone, ZoneId{1});
    EXPECT_EQ(endpoint.entry.kind, MachineKind{1});
    EXPECT_EQ(endpoint.entry.cell, CellId{3});
    EXPECT_EQ(endpoint.entry.weight, 1.5);
    EXPECT_EQ(endpoint.entry.startedAt, TimePoint(std::chrono::milliseconds(1700000000123)));
}

TEST(EndpointListTest, TranslatesStatus) {
    Json document = makeDocument();
    document["endpoints"][0]["status"] = "terminating";
    EXPECT_EQ(parse(document).endpoints.front().entry.availability, Availability::draining);
    document["endpoints"][0]["status"] = "terminated";
    EXPECT_EQ(parse(document).endpoints.front().entry.availability, Availability::removed);
}

TEST(EndpointListTest, MapsUnknownZoneToIndexAfterTheLast) {
    Json document = makeDocument();
    document["endpoints"][0]["zone"] = "elsewhere";
    EXPECT_EQ(parse(document).endpoints.front().entry.zone, ZoneId{2});
}

TEST(EndpointListTest, RequiresAddressUnlessEndpointIsTerminated) {
    Json document = makeDocument();
    document["endpoints"][0].erase("address");
    EXPECT_THROW(parse(document), EndpointListError);
    document["endpoints"][0]["status"] = "terminated";
    EXPECT_EQ(parse(document).endpoints.front().address.port(), 0);
}

TEST(EndpointListTest, NamesPlaceOfInvalidField) {
    Json document = makeDocument();
    document["endpoints"][0]["status"] = "asleep";
    try {
        parse(document);
        FAIL();
    } catch (const EndpointListError& e) {
        EXPECT_EQ(e.place(), "targets.endpoints[0].status");
    }
}

TEST(EndpointListTest, RejectsTextThatIsNotJson) {
    EXPECT_THROW(parseEndpointList("{", kZoneAndKindNames), EndpointListError);
}

TEST(ParseAddressTest, RejectsMalformedAddresses) {
    for (const char* text :
         {"", "here", "127.0.0.1", "127.0.0.1:", "127.0.0.1:70000", "127.0.0.1:7x", "host:1"})
        EXPECT_THROW(parseAddress(text, "place"), FieldError) << text;
}

}  // namespace
}  // namespace gateway::net::test
