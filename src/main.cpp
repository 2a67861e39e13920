// The gateway's process. Exits with 0 after a graceful shutdown, and with 1 and one line on standard error if
// its configuration can't be served.
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
