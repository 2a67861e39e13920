#include "support/failing_system_calls.h"

#include <dlfcn.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstddef>

namespace {

struct Failure {
    int error = 0;
    int period = 1;
    int failuresLeft = 0;
    int calls = 0;
};

std::array<Failure, 4> failures;

// Counts a call. Returns whether it fails, and sets errno then.
bool fails(gateway::net::test::SystemCall call) {
    Failure& failure = failures[static_cast<std::size_t>(call)];
    if (failure.failuresLeft == 0 || ++failure.calls % failure.period != 0) return false;
    --failure.failuresLeft;
    errno = failure.error;
    return true;
}

template <class Function>
Function* next(const char* name) {
    return reinterpret_cast<Function*>(::dlsym(RTLD_NEXT, name));
}

}  // namespace

// These functions take the place of those of the C library in the test program.
// NOLINTBEGIN(readability-inconsistent-declaration-parameter-name): the library's names are reserved.
extern "C" {

int socket(int domain, int type, int protocol) noexcept {
    static auto* const real = next<int(int, int, int)>("socket");
    return fails(gateway::net::test::SystemCall::socket) ? -1 : real(domain, type, protocol);
}

int accept(int descriptor, sockaddr* address, socklen_t* size) {
    static auto* const real = next<int(int, sockaddr*, socklen_t*)>("accept");
    if (!fails(gateway::net::test::SystemCall::accept)) return real(descriptor, address, size);
    if (errno != ECONNABORTED) return -1;
    ::close(real(descriptor, address, size));  // an aborted connection has left the backlog
    errno = ECONNABORTED;
    return -1;
}

int connect(int descriptor, const sockaddr* address, socklen_t size) {
    static auto* const real = next<int(int, const sockaddr*, socklen_t)>("connect");
    return fails(gateway::net::test::SystemCall::connect) ? -1 : real(descriptor, address, size);
}

int listen(int descriptor, int backlog) noexcept {
    static auto* const real = next<int(int, int)>("listen");
    return fails(gateway::net::test::SystemCall::listen) ? -1 : real(descriptor, backlog);
}
}
// NOLINTEND(readability-inconsistent-declaration-parameter-name)

namespace gateway::net::test {

FailingSystemCall::FailingSystemCall(SystemCall call, int error, int period, int failureCount) : call_(call) {
    failures[static_cast<std::size_t>(call)] = {error, period, failureCount, 0};
}

FailingSystemCall::~FailingSystemCall() {
    failures[static_cast<std::size_t>(call_)] = {};
}

}  // namespace gateway::net::test
