// Clients that disconnect while a request of theirs is in flight.
#pragma once

#include <gtest/gtest.h>

#include <ostream>
#include <string>
#include <vector>

#include "support/gateway_test.h"

namespace gateway::net::test {

enum class Disconnect {
    close,
    reset,
    halfClose,  // of its sending side: on the wire it begins like a close, and is taken for one
};
std::ostream& operator<<(std::ostream& out, Disconnect disconnect);

void disconnect(Socket& client, Disconnect how);

// No attempt may begin once its client has disconnected. To force the order of events the gateway is stopped
// while both its peers and its client act. What the kernel reports first is handled first, so what would
// begin an attempt is sent before the client disconnects. A request of another client then shows what was
// begun before it.
class ClientDisconnectFixture : public GatewayTest {
protected:
    // A request without a quota, so that the counter is not called.
    static RequestSpec uncountedRequest(const std::string& id);

    // Expects that the next attempt on new connections to `endpoints`, or on `connections`, is the one of
    // another client, and the only one.
    void expectOnlyNextRequestForwarded(const std::vector<const Server*>& endpoints,
                                        const std::vector<Socket*>& connections = {}) const;
};

}  // namespace gateway::net::test
