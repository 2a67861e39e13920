// Time, identifier and index types that settings, events and actions share.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <type_traits>
#include <utility>

namespace gateway {

// A span of time. Microseconds are the resolution of the protocol.
using Duration = std::chrono::microseconds;

// The clock that all gateways of a fleet share. Window slices are numbered, and the start times of endpoints
// are measured, from its epoch. It has no now(): callers pass the current time in.
struct FleetClock {
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<FleetClock>;
    static constexpr bool is_steady = false;
};

// A point in time on the fleet's clock.
using TimePoint = FleetClock::time_point;

// A string identifier. Identifiers with different tags are different types and don't convert to each other.
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

using RequestId = StringId<struct RequestIdTag>;    // chosen by the client; unique while in flight
using EndpointId = StringId<struct EndpointIdTag>;  // the name under which discovery lists an endpoint

enum class TenantId : std::uint64_t {};  // the holder of a quota
enum class TimerId : std::uint64_t {};   // chosen by the engine for each SetTimer

enum class RequestClassIndex : int {};  // index into Settings::classes
enum class QuotaPlanIndex : int {};     // index into Settings::plans
enum class ZoneId : int {};             // index of a zone in the settings
enum class CellId : int {};             // group of endpoints that deduplicate requests together
enum class MachineKind : int {};        // index of a kind of machine in the settings

// Converts an index type to a position in a list. Precondition: `index` is not negative.
template <class Index>
requires std::is_enum_v<Index>
constexpr std::size_t toPosition(Index index) {
    return static_cast<std::size_t>(index);
}

}  // namespace gateway

// Not noexcept: libstdc++ then caches the hash in each map node, as it does for strings, and does not
// recompute it for every node that a lookup passes.
template <class Tag>
struct std::hash<gateway::StringId<Tag>> {
    std::size_t operator()(const gateway::StringId<Tag>& id) const {
        return std::hash<std::string>{}(id.value());
    }
};
