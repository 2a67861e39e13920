// The fixture of tests in which a client disconnects while its request is in flight.
#pragma once

#include <gtest/gtest.h>

#include <ostream>
#include <string>
#include <vector>

#include "support/gateway_test.h"

namespace gateway::net::test {

// How a client disconnects.
enum class Disconnect {
    close,
    reset,
    halfClose,  // of its sending side: the gateway can't tell it from a close, and handles it as one
};
std::ostream& operator<<(std::ostream& out, Disconnect disconnect);

void disconnect(Socket& client, Disconnect how);

// No attempt may begin after its client has disconnected. Tests stop the gateway while peers and client act,
// so that it finds both events at once. It handles events in the order in which the kernel reports them, so
// tests send the input that would begin an attempt before the client disconnects. A request of another client
// then shows whether an attempt was begun.
class ClientDisconnectFixture : public GatewayTest {
protected:
    // A request without a quota, so that the counter is not called.
    static RequestSpec uncountedRequest(const std::string& id);

    // Sends a request of another client. Expects that its attempt is the only one on new connections to
    // `endpoints` and on `connections`.
    void expectOnlyNextRequestForwarded(const std::vector<const Server*>& endpoints,
                                        const std::vector<Socket*>& connections = {}) const;
};

}  // namespace gateway::net::test
