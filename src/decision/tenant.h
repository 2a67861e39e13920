// What a gateway keeps of one tenant. State alone; nothing is decided here.
#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include "decision/request_table.h"
#include "gateway/types.h"

namespace gateway {

// What was decided on a request's charge before the counter replied to it.
enum class Admission { pending, admitted, rejected };

// One add to a slice's name on the counter, in flight. All amounts are costs.
struct CounterCall {
    RequestKey request = 0;  // whose charge it carries; 0: none's
    double charge = 0;       // for that request
    double amount = 0;       // added in all
    Admission admission = Admission::pending;
    double carriedCharge = 0;         // admitted earlier and not posted then
    double carriedRefund = 0;         // of rejected requests
    double refundedSoFar = 0;         // on this name, up to and with this call
    double postedSoFar = 0;           // on this name, up to and with this call
    double carriedUnverified = 0;     // of `carriedCharge`, what was admitted without a reply
    double unverified = 0;            // the same, and what was admitted before this call's reply
    std::vector<RequestKey> readers;  // requests that wait for the slice's sum only
};

// One slice of a sliding window: the counter holds its sum over all gateways.
struct WindowSlice {
    std::int64_t index = 0;
    double total = 0;              // last known sum over all gateways, less own rejected cost
    double admittedSince = 0;      // admitted here since then
    double othersSince = 0;        // what the others admitted since then, by the observed share
    Time repliedAt{};              // of its last reply
    double ownAdmitted = 0;        // admitted here in all
    double forfeited = 0;          // room past the burst that was seen: it is lost
    bool hasTotal = false;         // the counter replied for it
    bool debtCarried = false;      // the closed slice's debt was added to it
    bool hasOwnCalls = false;      // this gateway added to it
    double pendingCharge = 0;      // to be carried by the next add
    double pendingRefund = 0;      // the same
    double pendingUnverified = 0;  // of `pendingCharge`, what was admitted without a reply
    double rejected = 0;           // own rejected cost, in all
    double refunded = 0;           // of that, what was posted as refund
    double posted = 0;             // on this name, in all
    bool flushScheduled = false;
    std::deque<CounterCall> calls;  // in flight, in the order of their replies
};

// What is known of a tenant's use of its quota.
struct TenantUsage {
    double ownSeen = 0;    // cost admitted here in closed slices, fading
    double totalSeen = 0;  // the same over all gateways
    double demand = 0;     // cost a second that is asked for here
    Time demandAt{};       // when that was last updated
    Time totalAt{};        // when the counter last told a sum
    double meteredUse =
        1;  // share of its quota, over all gateways, by the meter and the counter's rejections
};

// A gateway's part of what a plan's ceiling allows beyond the quota, as a token bucket.
struct CeilingTokens {
    double tokens = 0;
    double share = 1;  // of the ceiling, as it was last filled
    Time filledAt{};   // 0: never
};

struct Tenant {
    TenantId id = 0;
    int plan = 0;                     // index into Settings::plans
    int entryPoints = 1;              // gateways through which its requests may come
    int inFlight = 0;                 // own attempts
    std::vector<WindowSlice> slices;  // the closed one and the current one
    TenantUsage usage;
    CeilingTokens ceiling;
    Time rejectedAt{};  // when the counter's sum last left no room
    Time usedAt{};      // by its latest request
};

}  // namespace gateway
