// The gateway on real sockets. Bad configuration ends it with one line on standard error.
#include <exception>
#include <iostream>

#include "net/server/service.h"

int main() {
    try {
        gateway::net::serve(gateway::net::configFromEnvironment(),
                            [](const gateway::net::Config::Address&) {});
    } catch (const std::exception& e) {
        std::cerr << "gateway: " << e.what() << '\n';
        return 1;
    }
    return 0;
}
