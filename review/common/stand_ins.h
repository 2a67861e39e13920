// Stand-ins for the records servers, the counter and discovery, as the protocol page describes them.
#pragma once

#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "socket.h"

namespace review {

// A records server. Runs each request for some time and answers it.
class RecordsServer {
public:
    // Answers one request, which was counted as run. Returns false to close the connection.
    using Answer = std::function<bool(RecordsServer&, Socket&, const Message&)>;

    // The default answer is answerWhole().
    explicit RecordsServer(std::string name, Answer answer = {});
    RecordsServer(const RecordsServer&) = delete;
    RecordsServer& operator=(const RecordsServer&) = delete;

    const std::string& name() const { return name_; }
    int port() const { return listener_.port(); }

    // Works for the time that the class takes, and answers 200 with the body that bodyOf() gives.
    static bool answerWhole(RecordsServer& server, Socket& socket, const Message& request);
    // The body of the answer to the request with this id.
    static std::string bodyOf(const std::string& id) { return "record for " + id + "\n"; }
    // Waits as long as the work of the request takes: 100 to 280 ms, by its class.
    static void work(const Message& request);

private:
    void serve(Socket socket);

    std::string name_;
    Answer answer_;
    Listener listener_;
};

// Returns how often the records servers have run the request.
int timesRun(const std::string& requestId);

// The counter service: adds to named numbers and returns the totals.
class Counter {
public:
    Counter();
    int port() const { return listener_.port(); }

private:
    void serve(Socket socket);
    double add(const std::string& name, double amount, double lifeMs);

    struct Number {
        double total = 0;
        double forgottenAt = 0;
    };
    std::mutex mutex_;
    std::map<std::string, Number> numbers_;
    Listener listener_;
};

// The agent of discovery. Lists the records servers and tells no change.
class DiscoveryAgent {
public:
    explicit DiscoveryAgent(std::string document);
    int port() const { return listener_.port(); }

private:
    void serve(Socket socket) const;

    std::string document_;
    Listener listener_;
};

// Returns discovery's whole list: all servers in service, none started lately.
std::string listOf(const std::list<RecordsServer>& servers);

}  // namespace review
