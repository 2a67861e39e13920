// The entry point of the gateway program. Exits with status 0 after a graceful shutdown. Exits with status 1
// and one line on standard error if the configuration is invalid or the gateway cannot start.
#include <exception>
#include <iostream>

#include "net/server/service.h"

int main() {
    try {
        gateway::net::serve(gateway::net::loadConfig(), [](const gateway::net::Config::Address&) {});
    } catch (const std::exception& e) {
        std::cerr << "gateway: " << e.what() << '\n';
        return 1;
    }
    return 0;
}
