// How ClientServer sheds load at the limits of connections and of memory.
#include <boost/beast/http/status.hpp>
#include <vector>

#include "net/client/client_server.h"

namespace gateway::net {

namespace http = boost::beast::http;
using std::chrono::milliseconds;

namespace {

// At the limit of connections, a request is rejected that no byte arrived of, or that was incomplete, for
// longer than this.
constexpr Duration kMaxSilenceAtLimit = milliseconds(250);
constexpr Duration kMaxRequestTimeAtLimit = milliseconds(500);
constexpr Duration kLingerTimeAtLimit = milliseconds(50);  // for a client to receive the last response

}  // namespace

// Rejects requests that clients don't complete, and ends the connections of clients that send faster than
// they are answered or don't read, and those whose last response was sent, because other clients wait for
// them.
void ClientServer::shedSlowRequests() {
    std::vector<SessionPtr> slow;
    std::vector<SessionPtr> overloaded;
    std::vector<SessionPtr> lingering;
    for (const SessionPtr& session : sessions_) {
        if (session->isSendingSlowly(kMaxSilenceAtLimit, kMaxRequestTimeAtLimit)) slow.push_back(session);
        if (session->isOverloadedFor(kMaxRequestTimeAtLimit)) overloaded.push_back(session);
        if (session->hasLingeredFor(kLingerTimeAtLimit)) lingering.push_back(session);
    }
    for (const SessionPtr& session : slow) {
        session->answerAndClose(http::status::service_unavailable);
        shedLog_.record(ShedReason::connectionLimit);
    }
    for (const SessionPtr& session : overloaded) {
        session->closeAfterReadRequests();
        shedLog_.record(ShedReason::connectionLimit);
    }
    for (const SessionPtr& session : lingering) session->end();
}

bool ClientServer::isMemoryExhausted() {
    while (memoryBudget_->isExceeded())
        if (!shedLargestHolder()) return true;
    return false;
}

// Ends the session that holds memory for a request or response and has been stalled longest. Returns false if
// there is none: the remaining memory is taken by requests in flight.
bool ClientServer::shedLargestHolder() {
    SessionPtr oldest;
    const TimePoint now = clock_.now();
    for (const SessionPtr& session : sessions_) {
        if (session->chargedBytes() == 0 || session->isIdle()) continue;
        const bool isStalled = session->stalledFor(now) > Duration::zero();
        if (isStalled && (!oldest || session->stalledFor(now) > oldest->stalledFor(now))) oldest = session;
    }
    if (!oldest) return false;
    if (oldest->isFlushed())
        oldest->answerAndClose(http::status::service_unavailable);
    else
        oldest->end();
    shedLog_.record(ShedReason::memoryLimit);
    return true;
}

}  // namespace gateway::net
