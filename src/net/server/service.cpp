#include "net/server/service.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <exception>
#include <string>

#include "net/server/gateway_server.h"
#include "net/transport/log.h"

namespace gateway::net {
namespace {

// Shuts the server down on SIGTERM and SIGINT, and reloads its configuration on SIGHUP.
class SignalHandler {
public:
    SignalHandler(boost::asio::io_context& ioContext, GatewayServer& server)
        : ioContext_(ioContext),
          server_(server),
          terminationSignals_(ioContext, SIGTERM, SIGINT),
          reloadSignal_(ioContext, SIGHUP) {
        awaitTermination();
        awaitReload();
    }

private:
    void awaitTermination() {
        terminationSignals_.async_wait([this](const boost::system::error_code& ec, int) {
            if (!ec) server_.shutDown([this] { ioContext_.stop(); });
        });
    }

    void awaitReload() {
        reloadSignal_.async_wait([this](const boost::system::error_code& ec, int) {
            if (ec) return;
            reload();
            awaitReload();
        });
    }

    void reload() {
        try {
            server_.tryToFreeDescriptor();
            server_.reload(loadConfig(ConfigLoad::reload));
        } catch (const std::exception& e) {
            log(LogLevel::error, "SIGHUP",
                std::string("configuration not reloaded, continuing with the previous one: ") + e.what());
        }
    }

    boost::asio::io_context& ioContext_;
    GatewayServer& server_;
    boost::asio::signal_set terminationSignals_;
    boost::asio::signal_set reloadSignal_;
};

// Runs the event loop until it is stopped. An exception ends only the handler that threw it.
void runLoop(boost::asio::io_context& ioContext) {
    for (;;) {
        try {
            ioContext.run();
            return;
        } catch (const std::exception& e) {
            log(LogLevel::error, "event loop",
                std::string("a handler failed, continuing with the next one: ") + e.what());
        }
    }
}

}  // namespace

void serve(const Config& config, const std::function<void(const Config::Address&)>& onListening) {
    std::signal(SIGPIPE, SIG_IGN);  // writes to a closed connection return an error instead
    boost::asio::io_context ioContext(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE);
    GatewayServer server(ioContext, config);
    const SignalHandler signals(ioContext, server);
    server.start();
    onListening(server.address());
    runLoop(ioContext);
}

}  // namespace gateway::net
