// The simulator adapter: runs simulated gateways, which the simulator drives over standard input and output.
#include <exception>
#include <iostream>

#include "simulator/wire_server.h"

int main() {
    std::ios::sync_with_stdio(false);
    try {
        gateway::simulator::serve(std::cin, std::cout);
    } catch (const std::exception& e) {
        std::cerr << "simulator_adapter: " << e.what() << '\n';
        return 1;
    }
    return 0;
}
