#include "support/request_spec.h"

#include <cstdint>
#include <iomanip>
#include <sstream>
#include <utility>

namespace gateway::net::test {
namespace {

constexpr const char* kSafeClass = "load";
constexpr const char* kKeyedClass = "change";
constexpr const char* kUnsafeClass = "spend";

}  // namespace

RequestSpec::RequestSpec(std::string requestClass, std::string id)
    : requestClass_(std::move(requestClass)), id_(std::move(id)) {}

RequestSpec RequestSpec::withId(std::string id) const {
    RequestSpec changed = *this;
    changed.id_ = std::move(id);
    return changed;
}

RequestSpec RequestSpec::withTenant(std::string tenant) const {
    RequestSpec changed = *this;
    changed.tenant_ = std::move(tenant);
    return changed;
}

RequestSpec RequestSpec::withoutQuota() const {
    RequestSpec changed = *this;
    changed.plan_ = "free";
    return changed;
}

RequestSpec RequestSpec::withTimeout(std::chrono::milliseconds timeout) const {
    RequestSpec changed = *this;
    changed.timeout_ = timeout;
    return changed;
}

RequestSpec RequestSpec::withBody(std::string body) const {
    RequestSpec changed = *this;
    changed.body_ = std::move(body);
    return changed;
}

RequestSpec RequestSpec::withCost(const std::string& cost) const {
    return withMetering("units=" + cost + ",spread=1,first=0");
}

RequestSpec RequestSpec::withMetering(std::string metering) const {
    RequestSpec changed = *this;
    changed.metering_ = std::move(metering);
    return changed;
}

std::string RequestSpec::text() const {
    const bool isSafe = requestClass_ == kSafeClass;
    std::ostringstream text;
    text << (isSafe ? "GET /" : "POST /") << requestClass_ << "?slot=7 HTTP/1.1\r\nHost: origin.svc\r\n"
         << "Request-Id: " << id_ << "\r\nRequest-Class: " << requestClass_ << "\r\nX-Contract: " << plan_
         << "\r\nX-Client-Id: " << tenant_ << "\r\nRequest-Timeout-Ms: " << timeout_.count()
         << "\r\nX-Metering: " << metering_ << "\r\n";
    if (!isSafe) text << "Idempotency-Key: k-" << id_ << "\r\nContent-Length: " << body_.size() << "\r\n";
    text << "\r\n" << body_;
    return text.str();
}

RequestSpec safeRequest(const std::string& id) {
    return {kSafeClass, id};
}

RequestSpec keyedRequest(const std::string& id) {
    return RequestSpec(kKeyedClass, id).withBody("x");
}

RequestSpec unsafeRequest(const std::string& id) {
    return RequestSpec(kUnsafeClass, id).withBody("x");
}

std::string tenantAtStartOfSlice() {
    using Microseconds = std::chrono::duration<std::uint64_t, std::micro>;
    constexpr Microseconds kSliceLength = std::chrono::seconds(20);
    constexpr Microseconds kMaxAge = std::chrono::seconds(1);
    constexpr std::uint64_t kShifts = 1024;
    constexpr std::uint64_t kShiftMultiplier = 2654435761U;
    constexpr std::uint64_t kFirstTenant = 0xb4d65521;
    constexpr int kTenantDigits = 16;

    const auto now =
        std::chrono::duration_cast<Microseconds>(std::chrono::system_clock::now().time_since_epoch());
    for (std::uint64_t id = kFirstTenant;; ++id) {
        const Microseconds shift = id * kShiftMultiplier % kShifts * kSliceLength / kShifts;
        if ((now + shift) % kSliceLength >= kMaxAge) continue;
        std::ostringstream tenant;
        tenant << std::hex << std::setw(kTenantDigits) << std::setfill('0') << id;
        return tenant.str();
    }
}

}  // namespace gateway::net::test
