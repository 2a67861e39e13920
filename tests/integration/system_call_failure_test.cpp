// System calls that fail for a moment.
#include <gtest/gtest.h>

#include <cerrno>
#include <optional>
#include <ostream>
#include <string>

#include "support/failing_system_calls.h"
#include "support/gateway_test.h"

namespace gateway::net::test {
namespace {

struct CallFailure {
    const char* name;
    SystemCall call;
    int error;
    int period = 3;  // each such call fails
};

std::ostream& operator<<(std::ostream& out, const CallFailure& failure) {
    return out << failure.name;
}

std::string nameOf(const testing::TestParamInfo<CallFailure>& info) {
    return info.param.name;
}

class SystemCallFailureTest : public GatewayTest, public testing::WithParamInterface<CallFailure> {
protected:
    // Starts a gateway in which the call fails. Calls of this process do not fail afterwards.
    void startGatewayWithFailures(int failures) {
        const FailingSystemCall failing(GetParam().call, GetParam().error, GetParam().period, failures);
        startGateway();
    }
};

class StartFailureTest : public SystemCallFailureTest {};

INSTANTIATE_TEST_SUITE_P(Calls, StartFailureTest,
                         testing::Values(CallFailure{"SocketNoBuffers", SystemCall::socket, ENOBUFS},
                                         CallFailure{"SocketFileTable", SystemCall::socket, ENFILE},
                                         CallFailure{"ListenInUse", SystemCall::listen, EADDRINUSE, 2}),
                         nameOf);

// Guards against a process that ends at its start because a system call failed for a moment.
TEST_P(StartFailureTest, StartsOnceTheCallSucceeds) {
    startGatewayWithFailures(3);
    expectServedBy(gateway(), endpoint, 1);
}

class AcceptFailureTest : public SystemCallFailureTest {};

INSTANTIATE_TEST_SUITE_P(Calls, AcceptFailureTest,
                         testing::Values(CallFailure{"FileTable", SystemCall::accept, ENFILE},
                                         CallFailure{"NoBuffers", SystemCall::accept, ENOBUFS},
                                         CallFailure{"Interrupted", SystemCall::accept, EINTR},
                                         CallFailure{"Protocol", SystemCall::accept, EPROTO},
                                         CallFailure{"NetworkDown", SystemCall::accept, ENETDOWN}),
                         nameOf);

// Guards against clients that wait for ever, or are closed, because an accept failed.
TEST_P(AcceptFailureTest, ServesEachClient) {
    startGatewayWithFailures(1000);
    for (int i = 0; i < 60; ++i) {
        Socket client = connectClient();
        EXPECT_EQ(requestReadiness(client), 200);
    }
}

class AbortedConnectionTest : public GatewayTest {};

// Guards against an event loop that waits within accept() because a connection was aborted in the backlog.
TEST_F(AbortedConnectionTest, ServesOthers) {
    {
        const FailingSystemCall failing(SystemCall::accept, ECONNABORTED, 2, 1);
        startGateway();
    }
    Socket first = connectClient();
    EXPECT_EQ(requestReadiness(first), 200);
    Socket aborted = connectClient();
    EXPECT_TRUE(aborted.waitForClose());
    EXPECT_EQ(requestReadiness(first), 200);
}

class OpenFailureTest : public SystemCallFailureTest {};

INSTANTIATE_TEST_SUITE_P(Calls, OpenFailureTest,
                         testing::Values(CallFailure{"NoBuffers", SystemCall::socket, ENOBUFS},
                                         CallFailure{"NoMemory", SystemCall::socket, ENOMEM}),
                         nameOf);

// Guards against a client that is closed for a descriptor, although another resource is short.
TEST_P(OpenFailureTest, KeepsIdleClientsAndServes) {
    startGatewayWithFailures(1000);
    Socket idle = connectClient();
    EXPECT_EQ(requestReadiness(idle), 200);
    expectServedBy(gateway(), endpoint, 20);
    EXPECT_EQ(requestReadiness(idle), 200);
}

}  // namespace
}  // namespace gateway::net::test
