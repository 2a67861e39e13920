// Requests as clients send them to a gateway with the settings of SettingsSpec.
#pragma once

#include <chrono>
#include <string>

namespace gateway::net::test {

constexpr std::chrono::milliseconds kDefaultTimeout = std::chrono::seconds(8);
// For tests that hold a request: it must not run out of time on a slow machine. See withLongDeadlines().
constexpr std::chrono::milliseconds kLongTimeout = std::chrono::seconds(100);

constexpr const char* kDefaultTenant = "00000000b4d65521";

// One request. Each with...() returns a changed copy:
//   client.write(unsafeRequest("r1").withoutQuota().text());
class RequestSpec {
public:
    RequestSpec(std::string requestClass, std::string id);

    RequestSpec withId(std::string id) const;
    RequestSpec withTenant(std::string tenant) const;  // 16 hexadecimal digits
    RequestSpec withoutQuota() const;                  // of a plan for which the counter is not called
    RequestSpec withTimeout(std::chrono::milliseconds timeout) const;
    RequestSpec withBody(std::string body) const;
    RequestSpec withCost(const std::string& cost) const;
    RequestSpec withMetering(std::string metering) const;  // the header X-Metering as it is sent

    // The HTTP message: GET for the safe class, else POST with an idempotency key.
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

// A GET that may be repeated at will.
RequestSpec safeRequest(const std::string& id);
// A POST whose repeats with the same idempotency key the endpoints drop.
RequestSpec keyedRequest(const std::string& id);
// A POST that must not be repeated.
RequestSpec unsafeRequest(const std::string& id);

// A tenant whose current slice on the counter is at most 1 s old. Slices of the plan with a quota are 20 s
// long, and shifted by the tenant's number. While a slice lasts the counter sees one name; a test that runs
// into the next slice would see another name, and connections for it.
std::string tenantWithYoungSlice();

}  // namespace gateway::net::test
