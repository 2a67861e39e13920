// A test fixture with an event loop and a loopback listener, with which a test acts as the peer of a
// connection.
#pragma once

#include <gtest/gtest.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "net/transport/tcp_connection.h"
#include "net/transport/timer_queue.h"

namespace gateway::net::test {

class LoopbackFixture : public ::testing::Test {
protected:
    tcp::endpoint address() const { return acceptor.local_endpoint(); }

    // Accepts one connection. Blocks until a connection is established.
    tcp::socket accept() { return acceptor.accept(); }

    static void write(tcp::socket& peer, std::string_view bytes) {
        boost::asio::write(peer, boost::asio::buffer(bytes));
    }

    // Runs the event loop until `peer` has received bytes, and returns them.
    std::string receive(tcp::socket& peer) {
        runUntil([&] { return peer.available() > 0; });
        std::string bytes(peer.available(), '\0');
        bytes.resize(peer.read_some(boost::asio::buffer(bytes)));
        return bytes;
    }

    // Runs the event loop until `peer` receives the close of the connection or a byte. Returns whether it
    // was the close.
    bool isClosedWithoutBytes(tcp::socket& peer) {
        peer.non_blocking(true);
        boost::system::error_code ec;
        char byte = 0;
        std::size_t size = 0;
        runUntil([&] {
            size = peer.receive(boost::asio::buffer(&byte, 1), 0, ec);
            return ec != boost::asio::error::would_block;
        });
        return size == 0;
    }

    // Runs the event loop until `isDone` returns true. Fails the test if that takes too long.
    void runUntil(const std::function<bool()>& isDone) {
        const SteadyTimePoint deadline = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (!isDone()) {
            ASSERT_LT(std::chrono::steady_clock::now(), deadline);
            ioContext.run_one_for(std::chrono::milliseconds(1));
            ioContext.restart();
        }
    }

    boost::asio::io_context ioContext;
    TimerQueue timers{ioContext};
    tcp::acceptor acceptor{ioContext, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)};
};

}  // namespace gateway::net::test
