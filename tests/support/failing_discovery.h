// A discovery service that fails its first call in a given way.
#pragma once

#include <ostream>
#include <string>

#include "support/loopback_socket.h"

namespace gateway::net::test {

// How a call to discovery fails.
enum class CallFailure {
    closed,        // the connection is closed after the request
    unavailable,   // the response is 503, then the connection is closed
    truncated,     // the connection is closed in the middle of a list
    unanswered,    // the connection stays open without a response
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

    // Makes the gateway's current call fail; its request must contain `path`. Accepts connections from then
    // on.
    void failCall(const std::string& path);
    // Accepts calls until it finds one that the gateway has not closed, and returns that one. Its request
    // must contain `path`.
    Socket acceptOpenCall(const std::string& path) const;

    // Returns false if no connection can be accepted before failCall().
    bool acceptsConnections() const;
    CallFailure failure() const { return failure_; }
    const Server& server() const { return server_; }

private:
    CallFailure failure_;
    Server server_;
    Socket queued_;      // for notConnected: fills the accept queue
    Socket failedCall_;  // for unanswered: stays open
};

}  // namespace gateway::net::test
