// A discovery service whose calls fail in a given way.
#pragma once

#include <ostream>
#include <string>

#include "support/loopback_socket.h"

namespace gateway::net::test {

// How a call to discovery ends.
enum class CallFailure {
    closed,        // after the request
    unavailable,   // answered 503 and closed
    truncated,     // closed within a list
    unanswered,    // left open
    refused,       // the connection is refused
    notConnected,  // the connection does not complete
};
constexpr CallFailure kCallFailures[] = {CallFailure::closed,    CallFailure::unavailable,
                                         CallFailure::truncated, CallFailure::unanswered,
                                         CallFailure::refused,   CallFailure::notConnected};
std::string nameOf(CallFailure failure);
std::ostream& operator<<(std::ostream& out, CallFailure failure);

class FailingDiscovery {
public:
    explicit FailingDiscovery(CallFailure failure);

    // Lets the call that is being made, which must request `path`, fail. From then on it can be reached.
    void failCall(const std::string& path);
    // Returns a call that is still open, of all that were made since. It must request `path`.
    Socket acceptOpenCall(const std::string& path) const;

    // False where no connection can be accepted before failCall().
    bool acceptsConnections() const;
    CallFailure failure() const { return failure_; }
    const Server& server() const { return server_; }

private:
    CallFailure failure_;
    Server server_;
    Socket queued_;      // notConnected: fills the accept queue
    Socket failedCall_;  // unanswered: kept open
};

}  // namespace gateway::net::test
