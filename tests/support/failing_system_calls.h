// Makes system calls of this process, and of processes that it forks later, fail as Linux documents it.
#pragma once

namespace gateway::net::test {

enum class SystemCall { socket, accept, connect, listen };

// While an object of this class exists, every `period`-th call fails with `error`, `failureCount` times at
// most. Only one object may exist for each system call.
class FailingSystemCall {
public:
    FailingSystemCall(SystemCall call, int error, int period, int failureCount);
    FailingSystemCall(const FailingSystemCall&) = delete;
    FailingSystemCall& operator=(const FailingSystemCall&) = delete;
    ~FailingSystemCall();

private:
    SystemCall call_;
};

}  // namespace gateway::net::test
