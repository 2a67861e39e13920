// Discovery's documents: the endpoint list and changes of it.
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
    boost::asio::ip::tcp::endpoint address;  // port 0: none was given, as for an endpoint that was removed
};

// One document.
struct EndpointList {
    std::uint64_t version = 0;
    bool isSnapshot = false;  // false: only the endpoints that changed since the version that is known
    std::vector<ResolvedEndpoint> endpoints;
};

// The names that documents use for zones and kinds of machine, in the order of the settings. A name's
// position is its ZoneId or MachineKind.
struct EndpointVocabulary {
    std::vector<std::string> zones;
    std::vector<std::string> kinds;
};

// Reads a document from its fields. Throws FieldError, with the place, if it is malformed.
EndpointList readEndpointList(const Fields& fields, const EndpointVocabulary& vocabulary);

// Reads a document from its text. Throws EndpointListError if it is malformed.
EndpointList parseEndpointList(std::string_view text, const EndpointVocabulary& vocabulary);

// Reads an address, for example "10.0.0.4:7070". Throws FieldError for `place` if it is malformed.
boost::asio::ip::tcp::endpoint parseAddress(const std::string& text, const std::string& place);

}  // namespace gateway::net
