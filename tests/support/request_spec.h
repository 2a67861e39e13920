// Client requests for a gateway that is configured by a SettingsSpec.
#pragma once

#include <chrono>
#include <string>

namespace gateway::net::test {

constexpr std::chrono::milliseconds kDefaultTimeout = std::chrono::seconds(8);
// For requests that a test delays: they must not time out on a slow machine. See withLongDeadlines().
constexpr std::chrono::milliseconds kLongTimeout = std::chrono::seconds(100);

constexpr const char* kDefaultTenant = "00000000b4d65521";

// One request. Each with...() returns a changed copy:
//   client.write(unsafeRequest("r1").withoutQuota().text());
class RequestSpec {
public:
    RequestSpec(std::string requestClass, std::string id);

    RequestSpec withId(std::string id) const;
    RequestSpec withTenant(std::string tenant) const;  // 16 hexadecimal digits
    RequestSpec withoutQuota() const;                  // with a plan for which the counter is not called
    RequestSpec withTimeout(std::chrono::milliseconds timeout) const;
    RequestSpec withBody(std::string body) const;
    RequestSpec withCost(const std::string& cost) const;
    RequestSpec withMetering(std::string metering) const;  // value of the header X-Metering

    // The HTTP message: a GET for the safe class, a POST with an idempotency key for the other classes.
    std::string text() const;

private:
    std::string requestClass_;
    std::string id_;
    std::string tenant_ = kDefaultTenant;
    std::string plan_ = "team";
    std::chrono::milliseconds timeout_ = kDefaultTimeout;
    std::string body_;
    std::string metering_ = "units=1,spread=1,first=0";
};

// A GET that may be repeated any number of times.
RequestSpec safeRequest(const std::string& id);
// A POST that endpoints run only once for each idempotency key.
RequestSpec keyedRequest(const std::string& id);
// A POST that must not be repeated.
RequestSpec unsafeRequest(const std::string& id);

// Returns a tenant whose current window slice began at most 1 s ago. With the quota of SettingsSpec a slice
// lasts 20 s, and its start depends on the tenant. A test that runs into the next slice would see calls to
// the counter with another name, possibly on another connection.
std::string tenantWithYoungSlice();

}  // namespace gateway::net::test
