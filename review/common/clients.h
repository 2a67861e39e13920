// The usual clients of one gateway.
#pragma once

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "socket.h"

namespace review {

struct Request {
    std::string id;
    std::string text;    // the whole message
    double timeout = 0;  // seconds that the client waits
};

// Makes a request with a new id. `account` is the customer. A record-read has no body.
Request makeRead(std::uint64_t account, int timeoutMs);
Request makeEntry(std::uint64_t account, int timeoutMs, const std::string& body);

// What became of a request.
struct Result {
    std::string id;
    Received firstTry = Received::timedOut;   // on the connection that it was sent on first
    Received secondTry = Received::timedOut;  // on a new one; only if the first was closed without an answer
    bool hasSecondTry = false;
    int status = 0;          // of the answer; 0: none
    bool isForeign = false;  // an answer of 200 with another body than the records server made for it

    // Whether the request was sent on a new connection that the gateway ended in order without an answer. As
    // the gateway would have reset the connection if bytes had been unread, it had read the request.
    bool wasReadAndClosed() const { return hasSecondTry && status == 0 && secondTry == Received::end; }
};

// Sends requests as the protocol page says: one at a time on a connection, on an open connection if one is
// free, and one more time on a new connection if the gateway closes it without an answer.
class UsualClients {
public:
    explicit UsualClients(int port) : port_(port) {}

    // Sends requests of about 100 customers evenly for `seconds`, two thirds of them record-reads, waits for
    // all answers and returns the results.
    std::vector<Result> run(double perSecond, double seconds);

private:
    // A connection and its reader, which stay at one place.
    struct Connection {
        explicit Connection(Socket&& connected) : socket(std::move(connected)), reader(socket) {}
        Socket socket;
        MessageReader reader;
    };
    using ConnectionPtr = std::shared_ptr<Connection>;

    Result exchange(const Request& request);
    Received tryOn(const ConnectionPtr& connection, const Request& request, double sentAt, Result& result);
    ConnectionPtr takeFree();
    ConnectionPtr openNew() const;

    int port_;
    std::mutex mutex_;
    std::vector<ConnectionPtr> free_;
};

}  // namespace review
