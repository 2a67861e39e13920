// Discovery's documents: endpoint lists and their changes.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/events.h"
#include "settings/json_fields.h"

namespace gateway::net {

// An endpoint and the address where it listens.
struct ResolvedEndpoint {
    EndpointEntry entry;
    boost::asio::ip::tcp::endpoint address;  // port 0: no address was given, as for a removed endpoint
    bool isReplaced = false;  // a process that started later has its address: see AddressOwners
};

// One document: all endpoints, or those that have changed since the previous version.
struct EndpointList {
    std::uint64_t version = 0;
    bool isSnapshot = false;  // the document lists all endpoints
    std::vector<ResolvedEndpoint> endpoints;
};

// The names of zones and kinds of machine in documents, in the order of the settings. The index of a name is
// its ZoneId or MachineKind.
struct ZoneAndKindNames {
    std::vector<std::string> zones;
    std::vector<std::string> kinds;
};

// Reads a document from its JSON fields. Throws FieldError if it is malformed.
EndpointList readEndpointList(const Fields& fields, const ZoneAndKindNames& zoneAndKindNames);

// Parses a document. Throws EndpointListError if it is malformed.
EndpointList parseEndpointList(std::string_view text, const ZoneAndKindNames& zoneAndKindNames);

// Parses an IP address and a port, for example "10.0.0.4:7070". Throws FieldError for `place` if the text is
// malformed.
boost::asio::ip::tcp::endpoint parseAddress(const std::string& text, const std::string& place);

}  // namespace gateway::net
