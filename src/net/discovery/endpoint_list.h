// Discovery's form of the list of endpoints.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "gateway/events.h"
#include "settings/json_fields.h"

namespace gateway::net {

struct ResolvedEndpoint {
    EndpointEntry entry;
    boost::asio::ip::tcp::endpoint address;
};

struct EndpointList {
    std::uint64_t index = 0;
    bool full = false;
    std::vector<ResolvedEndpoint> endpoints;
};

// The words that targets use for zones and kinds of machine, in the order of the settings.
struct EndpointNames {
    std::vector<std::string> zones, kinds;
};

// Throws FieldError, naming the place, where the list is malformed.
EndpointList readEndpointList(const Fields& f, const EndpointNames& names);

// "10.0.0.4:7070"; throws FieldError, with `what` in front, when it is none.
boost::asio::ip::tcp::endpoint parseAddress(const std::string& text, const std::string& what);

}  // namespace gateway::net
