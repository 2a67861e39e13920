// A gateway in a process of its own, before loopback peers.
#pragma once

#include <sys/types.h>

#include <functional>
#include <string>

#include "support/gateway_options.h"
#include "support/loopback_socket.h"

namespace gateway::net::test {

// Runs serve() in a forked process. Kills it at the end of the test, if it has not exited by then.
class GatewayProcess {
public:
    // Returns once the gateway listens. Throws std::runtime_error where it ends before that.
    explicit GatewayProcess(GatewayOptions options);
    GatewayProcess(const GatewayProcess&) = delete;
    GatewayProcess& operator=(const GatewayProcess&) = delete;
    ~GatewayProcess();

    Socket connectClient() const { return connectTo(port_); }

    // Where the gateway finds discovery, unless GatewayOptions::discovery is set.
    Server& discovery() { return discovery_; }

    // Replaces the file that EDGE_CONFIG names, and sends SIGHUP.
    void reload(const std::string& text) const;
    // The same with other addresses; without `counter` that one stays.
    void reload(const Server& discovery, const Server* counter = nullptr) const;

    // Sends SIGTERM.
    void terminate() const;
    // Waits for the end of the process. Returns its exit status, or 128 + the signal that ended it.
    int waitForExit();

    // Stops the process while `act` runs: it finds all that comes meanwhile at once, in the order of arrival.
    void whileStopped(const std::function<void()>& act) const;

    long residentKilobytes() const;

private:
    void start();
    // In the forked process: serves until SIGTERM, and returns the exit status.
    int serveAndReportPort(int reportTo) const;

    GatewayOptions options_;
    Server discovery_;
    std::string configFile_;
    pid_t pid_ = -1;
    unsigned short port_ = 0;
};

}  // namespace gateway::net::test
