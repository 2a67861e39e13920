// Discovery's form of the list of endpoints.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "gateway/events.h"
#include "settings/json_fields.h"

namespace gateway::net {

// An endpoint and where it listens.
struct ResolvedEndpoint {
    EndpointEntry entry;
    boost::asio::ip::tcp::endpoint address;  // port 0: no advice, of one that was removed
};

// One document of discovery's.
struct EndpointList {
    std::uint64_t index = 0;  // version of the list
    bool isSnapshot = false;  // else what changed since the version that was asked for
    std::vector<ResolvedEndpoint> endpoints;
};

// The words that lists use for zones and kinds of machine, in the order of the settings.
struct EndpointWords {
    std::vector<std::string> zones;
    std::vector<std::string> kinds;
};

// Throws FieldError, naming the place, where the list is malformed.
EndpointList readEndpointList(const Fields& fields, const EndpointWords& words);

// The same from the text of a document. Throws EndpointListError.
EndpointList parseEndpointList(std::string_view text, const EndpointWords& words);

// Reads "10.0.0.4:7070". Throws FieldError, naming `place`, where it is no address.
boost::asio::ip::tcp::endpoint parseAddress(const std::string& text, const std::string& place);

}  // namespace gateway::net
