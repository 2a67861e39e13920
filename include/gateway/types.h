// Units and identifiers that settings, events and actions share.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace gateway {

// A span of time; microseconds are the finest unit that the protocol tells.
using Duration = std::chrono::microseconds;

// A moment, counted from an epoch that all gateways of a fleet share: the names of window slices on the
// counter and the start times of endpoints are counted in it.
using Time = std::chrono::microseconds;

// A name that can't be taken for one of another kind. `Tag` tells the kinds apart.
template <class Tag>
class StringId {
public:
    StringId() = default;
    explicit StringId(std::string value) : value_(std::move(value)) {}

    const std::string& value() const { return value_; }

    friend bool operator==(const StringId&, const StringId&) = default;
    friend bool operator<(const StringId& a, const StringId& b) { return a.value_ < b.value_; }

private:
    std::string value_;
};

using RequestId = StringId<struct RequestIdTag>;    // as the client chose it; unique while in flight
using EndpointId = StringId<struct EndpointIdTag>;  // the name under which discovery lists an endpoint
enum class TenantId : std::uint64_t {};             // the holder of a quota
enum class TimerId : std::uint64_t {};              // chosen by the engine for each SetTimer

}  // namespace gateway

// Not noexcept: libstdc++ then keeps the hash with each entry of a map, as for strings, and does not compute
// it anew for every entry that a look-up passes.
template <class Tag>
struct std::hash<gateway::StringId<Tag>> {
    std::size_t operator()(const gateway::StringId<Tag>& id) const {
        return std::hash<std::string>{}(id.value());
    }
};
