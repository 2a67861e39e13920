// A gateway in a process of its own, whose peers are on loopback.
#pragma once

#include <sys/types.h>

#include <functional>
#include <optional>
#include <string>

#include "support/gateway_options.h"
#include "support/loopback_socket.h"

namespace gateway::net::test {

// Runs serve() in a forked process. The destructor kills the process if it has not exited by then.
class GatewayProcess {
public:
    // Returns once the gateway is listening. Throws std::runtime_error if it exits before that.
    explicit GatewayProcess(GatewayOptions options);
    GatewayProcess(const GatewayProcess&) = delete;
    GatewayProcess& operator=(const GatewayProcess&) = delete;
    ~GatewayProcess();

    Socket connectClient() const { return connectTo(port_); }

    // The discovery service of the gateway, unless GatewayOptions::discovery names another one.
    Server& discovery() { return discovery_; }

    // Replaces the file that EDGE_CONFIG names by `text`, and sends SIGHUP.
    void reload(const std::string& text) const;
    // Reloads the configuration with another address of discovery and, if `counter` is set, of the counter.
    void reload(const Server& discovery, const Server* counter = nullptr) const;

    // Sends SIGTERM.
    void terminate() const;
    // Waits until the process exits. Returns its exit status, or 128 + the number of the signal that ended
    // it.
    int waitForExit();

    // Returns the exit status as waitForExit() does if the process has exited. May be called again only if it
    // has not.
    std::optional<int> exitStatus();
    // Sends SIGKILL. Has no effect if the process has exited.
    void kill();
    unsigned short port() const { return port_; }

    // Stops the process while `act` runs. When it continues it finds all input that `act` caused at once, in
    // the order of arrival.
    void whileStopped(const std::function<void()>& act) const;

    long residentKilobytes() const;
    long peakResidentKilobytes() const;

private:
    void start();
    long readStatus(const std::string& field) const;
    // Runs in the forked process. Writes the port to the pipe `portPipe`, serves until SIGTERM, and returns
    // the exit status.
    int serveAndReportPort(int portPipe) const;

    GatewayOptions options_;
    Server discovery_;
    std::string configFile_;
    pid_t pid_ = -1;
    unsigned short port_ = 0;
};

}  // namespace gateway::net::test
