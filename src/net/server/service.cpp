#include "net/server/service.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/system/system_error.hpp>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <exception>
#include <string>
#include <thread>

#include "net/server/gateway_server.h"
#include "net/transport/log.h"

namespace gateway::net {
namespace {

constexpr auto kMaxStartTime = std::chrono::seconds(3);  // to repeat a start that fails for a moment
constexpr auto kStartRetryInterval = std::chrono::milliseconds(20);

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
            if (ec) return;
            log(LogLevel::info, "shutdown", "started by a signal; waiting for the clients' requests");
            server_.shutDown([this] {
                log(LogLevel::info, "shutdown", "complete");
                ioContext_.stop();
            });
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
            log(LogLevel::info, "SIGHUP", "configuration reloaded");
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

// Returns whether the system may recover from the failure of a call by itself.
bool isTemporary(const boost::system::error_code& ec) {
    if (ec.category() != boost::system::system_category()) return false;
    switch (ec.value()) {
        case EADDRINUSE:  // the previous process may be ending still
        case EAGAIN:
        case EINTR:
        case EMFILE:
        case ENFILE:
        case ENOBUFS:
        case ENOMEM:
            return true;
        default:
            return false;
    }
}

// Blocks the signals that the gateway handles, so that one that arrives while the process exits can't end it.
void blockSignals() {
    sigset_t signals;
    sigemptyset(&signals);
    for (const int signal : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&signals, signal);
    sigprocmask(SIG_BLOCK, &signals, nullptr);
}

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
    std::signal(SIGHUP, SIG_IGN);   // until the handler is installed; the configuration was just read
    const auto retryUntil = std::chrono::steady_clock::now() + kMaxStartTime;
    bool hasLogged = false;
    for (;;) {
        try {
            boost::asio::io_context ioContext(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE);
            GatewayServer server(ioContext, config);
            const SignalHandler signals(ioContext, server);
            server.start();
            log(LogLevel::info, "start", "listening");
            onListening(server.address());
            runLoop(ioContext);
            blockSignals();
            return;
        } catch (const boost::system::system_error& e) {
            if (!isTemporary(e.code()) || std::chrono::steady_clock::now() >= retryUntil) throw;
            if (!hasLogged) log(LogLevel::warning, "start", std::string("failed, trying again: ") + e.what());
            hasLogged = true;
            std::this_thread::sleep_for(kStartRetryInterval);
        }
    }
}

}  // namespace gateway::net
