#include "support/gateway_process.h"

#include <gtest/gtest.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <stdexcept>
#include <utility>

#include "net/server/service.h"

namespace gateway::net::test {
namespace {

std::string makeConfigPath() {
    static int count = 0;
    return testing::TempDir() + "gateway-" + std::to_string(::getpid()) + "-" + std::to_string(count++);
}

void limitDescriptors(rlim_t maxDescriptors) {
    if (maxDescriptors == 0) return;
    const rlimit limit{maxDescriptors, maxDescriptors};
    ::setrlimit(RLIMIT_NOFILE, &limit);
}

Timing toTiming(const TimingSpec& spec) {
    Timing timing;
    timing.listenGracePeriod = spec.listenGracePeriod;
    timing.idleGracePeriod = spec.idleGracePeriod;
    timing.initialUpdateWait = spec.initialUpdateWait;
    timing.reuseDelay = spec.reuseDelay;
    if (spec.emptyListWait) timing.emptyListWait = *spec.emptyListWait;
    if (spec.requestReadTimeout) timing.requestReadTimeout = *spec.requestReadTimeout;
    return timing;
}

}  // namespace

GatewayProcess::GatewayProcess(GatewayOptions options)
    : options_(std::move(options)), configFile_(makeConfigPath()) {
    if (options_.discovery.empty()) options_.discovery = discovery_.address();
    start();
}

void GatewayProcess::start() {
    std::array<int, 2> pipe{};
    if (::pipe(pipe.data()) != 0) throw std::runtime_error("cannot open a pipe");
    const auto [readEnd, writeEnd] = pipe;
    pid_ = ::fork();
    if (pid_ == 0) ::_exit(serveAndReportPort(writeEnd));
    ::close(writeEnd);
    const bool isListening = ::read(readEnd, &port_, sizeof port_) == sizeof port_;
    ::close(readEnd);
    if (!isListening)
        throw std::runtime_error("the gateway exited with status " + std::to_string(waitForExit()) +
                                 " before it was listening");
}

int GatewayProcess::serveAndReportPort(int portPipe) const {
    ::setenv("EDGE_CONFIG", configFile_.c_str(), 1);
    ::setenv("EDGE_DISCOVERY", options_.discovery.c_str(), 1);
    limitDescriptors(options_.maxDescriptors);
    try {
        Config config = readConfig(configDocument(options_));
        config.timing = toTiming(options_.timing);
        serve(config, [portPipe](const Config::Address& address) {
            const unsigned short port = address.port();
            if (::write(portPipe, &port, sizeof port) != sizeof port) std::abort();
        });
    } catch (const std::exception& e) {
        std::fprintf(stderr, "%s\n", e.what());
        return 1;
    }
    return 0;
}

GatewayProcess::~GatewayProcess() {
    kill();
    std::remove(configFile_.c_str());
}

void GatewayProcess::reload(const std::string& text) const {
    std::ofstream(configFile_) << text;
    ::kill(pid_, SIGHUP);
}

void GatewayProcess::reload(const Server& discovery, const Server* counter) const {
    GatewayOptions changed = options_;
    changed.discovery = discovery.address();
    if (counter != nullptr) changed.counter = counter->address();
    reload(configDocument(changed));
}

void GatewayProcess::terminate() const {
    ::kill(pid_, SIGTERM);
}

int GatewayProcess::waitForExit() {
    constexpr int kSignalOffset = 128;  // the convention of shells
    int status = 0;
    ::waitpid(std::exchange(pid_, -1), &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : kSignalOffset + WTERMSIG(status);
}

std::optional<int> GatewayProcess::exitStatus() {
    siginfo_t info{};
    if (::waitid(P_PID, static_cast<id_t>(pid_), &info, WEXITED | WNOHANG | WNOWAIT) != 0 || info.si_pid == 0)
        return std::nullopt;
    return waitForExit();
}

void GatewayProcess::kill() {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGKILL);
    ::waitpid(std::exchange(pid_, -1), nullptr, 0);
}

void GatewayProcess::whileStopped(const std::function<void()>& act) const {
    ::kill(pid_, SIGSTOP);
    int status = 0;
    ::waitpid(pid_, &status, WUNTRACED);
    act();
    ::kill(pid_, SIGCONT);
}

long GatewayProcess::residentKilobytes() const {
    return readStatus("VmRSS:");
}

long GatewayProcess::peakResidentKilobytes() const {
    return readStatus("VmHWM:");
}

long GatewayProcess::readStatus(const std::string& field) const {
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(status, line);)
        if (line.starts_with(field)) return std::stol(line.substr(field.size()));
    return 0;
}

}  // namespace gateway::net::test
