#include "net/server/service.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <exception>

#include "net/server/gateway_server.h"
#include "net/transport/log.h"

namespace gateway::net {
namespace {

// Carries out what signals ask for.
class SignalHandler {
public:
    SignalHandler(boost::asio::io_context& io, GatewayServer& server)
        : io_(io), server_(server), terminations_(io, SIGTERM, SIGINT), hangups_(io, SIGHUP) {
        terminations_.async_wait([this](const boost::system::error_code& ec, int) {
            if (!ec) server_.drain([this] { io_.stop(); });
        });
        awaitHangup();
    }

private:
    void awaitHangup() {
        hangups_.async_wait([this](const boost::system::error_code& ec, int) {
            if (ec) return;
            reload();
            awaitHangup();
        });
    }

    void reload() {
        try {
            server_.ensureDescriptor();
            server_.reload(configFromEnvironment(ConfigLoad::reload));
        } catch (const std::exception& e) {
            log(LogLevel::error, "SIGHUP", e.what());
        }
    }

    boost::asio::io_context& io_;
    GatewayServer& server_;
    boost::asio::signal_set terminations_;
    boost::asio::signal_set hangups_;
};

// An exception ends what threw, not the process.
void runLoop(boost::asio::io_context& io) {
    for (;;) {
        try {
            io.run();
            return;
        } catch (const std::exception& e) {
            log(LogLevel::error, "event loop", e.what());
        }
    }
}

}  // namespace

void serve(const Config& config, const std::function<void(const Config::Address&)>& onListening) {
    std::signal(SIGPIPE, SIG_IGN);  // a peer that is gone shows as an error of the write
    boost::asio::io_context io(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE);
    GatewayServer server(io, config);
    const SignalHandler signals(io, server);
    server.start();
    onListening(server.address());
    runLoop(io);
}

}  // namespace gateway::net
