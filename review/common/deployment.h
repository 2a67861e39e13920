// A small deployment: gateway processes, with stand-ins for everything around them.
#pragma once

#include <sys/types.h>

#include <list>
#include <memory>
#include <string>
#include <vector>

#include "stand_ins.h"

namespace review {

struct DeploymentOptions {
    int gateways = 2;
    int servers = 8;
    int sockets = 256;               // descriptors that a gateway may hold
    int memoryMb = 192;              // memory that a gateway may use
    RecordsServer::Answer answer{};  // of every records server
};

// One gateway, started by the command `run` of the deploy file in the present folder.
class GatewayProcess {
public:
    GatewayProcess(int index, const std::string& config, const std::string& folder, int port, int sockets);
    GatewayProcess(const GatewayProcess&) = delete;
    GatewayProcess& operator=(const GatewayProcess&) = delete;
    ~GatewayProcess();

    int port() const { return port_; }
    // Waits for up to 30 s until the gateway is ready. Returns false if it is not ready then.
    bool waitUntilReady();
    void signal(int number) const;
    // Returns whether the process has not ended.
    bool isRunning();
    // Returns the memory that the process has in use, in MB of 2^20 bytes; 0 if it has ended.
    double residentMb() const;

private:
    std::string name_;
    std::string logPath_;
    int port_;
    pid_t pid_ = -1;
    bool hasEnded_ = false;
};

// Starts the stand-ins and the gateways, and ends the gateways when it is destroyed.
class Deployment {
public:
    // Ends the program with status 2 if a gateway does not become ready.
    explicit Deployment(const DeploymentOptions& options);
    Deployment(const Deployment&) = delete;
    Deployment& operator=(const Deployment&) = delete;
    ~Deployment();

    GatewayProcess& gateway(std::size_t index) { return *gateways_[index]; }

private:
    std::string folder_;
    std::list<RecordsServer> servers_;
    Counter counter_;
    std::list<DiscoveryAgent> agents_;
    std::vector<std::unique_ptr<GatewayProcess>> gateways_;
};

}  // namespace review
