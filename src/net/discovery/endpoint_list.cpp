#include "net/discovery/endpoint_list.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <cmath>

namespace gateway::net {
namespace {

constexpr double kMicrosPerMilli = 1e3;

// Returns the index of the name, or names.size() if the name is unknown.
int indexOf(const std::string& name, const std::vector<std::string>& names) {
    return static_cast<int>(std::find(names.begin(), names.end(), name) - names.begin());
}

ResolvedEndpoint readEndpoint(const Fields& fields, const ZoneAndKindNames& zoneAndKindNames) {
    ResolvedEndpoint endpoint;
    EndpointEntry& entry = endpoint.entry;
    entry.id = EndpointId(fields.text("name"));
    entry.availability = fields.choice<Availability>("status", {{"in_service", Availability::up},
                                                                {"terminating", Availability::draining},
                                                                {"terminated", Availability::removed}});
    if (entry.availability != Availability::removed || fields.has("address"))
        endpoint.address = parseAddress(fields.text("address"), fields.pathTo("address"));
    if (fields.has("zone")) entry.zone = ZoneId{indexOf(fields.text("zone"), zoneAndKindNames.zones)};
    if (fields.has("type")) entry.kind = MachineKind{indexOf(fields.text("type"), zoneAndKindNames.kinds)};
    entry.cell = CellId{fields.integer("group", 0)};
    entry.weight = fields.number("weight", 1);
    entry.startedAt = TimePoint(Duration(std::llround(fields.number("since_ms", 0) * kMicrosPerMilli)));
    return endpoint;
}

}  // namespace

EndpointList readEndpointList(const Fields& fields, const ZoneAndKindNames& zoneAndKindNames) {
    EndpointList list;
    list.version = fields.unsignedInteger("index");
    list.isSnapshot = fields.flag("snapshot");
    fields.forEach("endpoints", [&](const Fields& item) {
        list.endpoints.push_back(readEndpoint(item, zoneAndKindNames));
    });
    return list;
}

EndpointList parseEndpointList(std::string_view text, const ZoneAndKindNames& zoneAndKindNames) {
    return rethrowFieldErrorAs<EndpointListError>([&] {
        const Json document = parseJson(text, "targets");
        return readEndpointList(Fields(document, "targets"), zoneAndKindNames);
    });
}

boost::asio::ip::tcp::endpoint parseAddress(const std::string& text, const std::string& place) {
    const std::size_t colon = text.rfind(':');
    if (colon != std::string::npos) {
        unsigned short port = 0;
        boost::system::error_code ec;
        const char* end = text.data() + text.size();
        const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
        const auto address = boost::asio::ip::make_address(text.substr(0, colon), ec);
        if (parsed.ec == std::errc() && parsed.ptr == end && !ec) return {address, port};
    }
    throw FieldError(place, "must be IP-ADDRESS:PORT, found '" + text + "'");
}

}  // namespace gateway::net
