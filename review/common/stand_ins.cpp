#include "stand_ins.h"

#include <cstdio>
#include <cstdlib>
#include <random>
#include <sstream>
#include <thread>

#include "record.h"

namespace review {
namespace {

constexpr double kConnectionIdleSeconds = 30;
constexpr double kCounterIdleSeconds = 10;
constexpr double kWatchBeatSeconds = 2;
constexpr double kMaxNumberLifeMs = 60'000;

std::mutex runMutex;
std::map<std::string, int> runs;

// Accepts connections for ever and serves each in a thread of its own.
template <class Serve>
void acceptAll(Listener& listener, Serve serve) {
    std::thread([&listener, serve] {
        while (true) {
            Socket socket = listener.accept();
            if (!socket.isOpen()) {
                sleepSeconds(0.01);
                continue;
            }
            std::thread([serve, socket = std::move(socket)]() mutable { serve(std::move(socket)); }).detach();
        }
    }).detach();
}

std::string okAnswer(const std::string& body, const std::string& headers = "") {
    return "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

double randomBetween(double low, double high) {
    thread_local std::mt19937_64 random{std::random_device{}()};
    return std::uniform_real_distribution<double>(low, high)(random);
}

std::string chunk(const std::string& text) {
    std::ostringstream size;
    size << std::hex << text.size();
    return size.str() + "\r\n" + text + "\r\n";
}

}  // namespace

// ---- Records servers ------------------------------------------------------------------------------

RecordsServer::RecordsServer(std::string name, Answer answer)
    : name_(std::move(name)), answer_(answer ? std::move(answer) : Answer(answerWhole)) {
    acceptAll(listener_, [this](Socket socket) { serve(std::move(socket)); });
}

void RecordsServer::serve(Socket socket) {
    MessageReader reader(socket);
    Message request;
    while (reader.read(request, kConnectionIdleSeconds) == Received::data) {
        const std::string id = request.header("request-id");
        {
            const std::lock_guard lock(runMutex);
            ++runs[id];
        }
        record("run " + id + " " + request.startLine + " on " + name_);
        if (!answer_(*this, socket, request)) return;
    }
}

void RecordsServer::work(const Message& request) {
    const bool isEntry = request.startLine.starts_with("POST");
    sleepSeconds(isEntry ? randomBetween(0.15, 0.28) : randomBetween(0.1, 0.18));
}

bool RecordsServer::answerWhole(RecordsServer&, Socket& socket, const Message& request) {
    work(request);
    return socket.send(okAnswer(bodyOf(request.header("request-id")), "X-Settled: 1\r\n"));
}

int timesRun(const std::string& requestId) {
    const std::lock_guard lock(runMutex);
    const auto found = runs.find(requestId);
    return found == runs.end() ? 0 : found->second;
}

// ---- Counter --------------------------------------------------------------------------------------

Counter::Counter() {
    acceptAll(listener_, [this](Socket socket) { serve(std::move(socket)); });
}

void Counter::serve(Socket socket) {
    MessageReader reader(socket);
    Message call;
    while (reader.read(call, kCounterIdleSeconds) == Received::data) {
        const std::string target = call.startLine.substr(0, call.startLine.rfind(' '));
        const std::size_t query = target.find('?');
        const std::size_t add = target.find("add=", query);
        const std::size_t life = target.find("ttl_ms=", query);
        if (add == std::string::npos || life == std::string::npos) return;
        const double total = this->add(target.substr(0, query), std::atof(target.c_str() + add + 4),
                                       std::atof(target.c_str() + life + 7));
        char text[64];
        std::snprintf(text, sizeof text, "%.7g", total);
        if (!socket.send(okAnswer(text))) return;
    }
}

double Counter::add(const std::string& name, double amount, double lifeMs) {
    const std::lock_guard lock(mutex_);
    Number& number = numbers_[name];
    if (number.forgottenAt < elapsed()) number = {0, elapsed() + std::min(lifeMs, kMaxNumberLifeMs) / 1000};
    number.total += amount;
    return number.total;
}

// ---- Discovery ------------------------------------------------------------------------------------

DiscoveryAgent::DiscoveryAgent(std::string document) : document_(std::move(document)) {
    acceptAll(listener_, [this](Socket socket) { serve(std::move(socket)); });
}

void DiscoveryAgent::serve(Socket socket) const {
    MessageReader reader(socket);
    Message call;
    while (reader.read(call, kConnectionIdleSeconds) == Received::data) {
        if (call.startLine.find("follow=1") == std::string::npos) {
            if (!socket.send(okAnswer(document_))) return;
            continue;
        }
        if (!socket.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(document_ + "\n")))
            return;
        while (socket.send(chunk("\n"))) sleepSeconds(kWatchBeatSeconds);
        return;
    }
}

std::string listOf(const std::list<RecordsServer>& servers) {
    std::string entries;
    for (const RecordsServer& server : servers) {
        if (!entries.empty()) entries += ",";
        entries += R"({"name":")" + server.name() + R"(","address":"127.0.0.1:)" +
                   std::to_string(server.port()) + R"(","zone":"hel-1","type":"small-2c","group":0,)" +
                   R"("status":"in_service","weight":1.0,"since_ms":0})";
    }
    return R"({"index":41,"snapshot":true,"endpoints":[)" + entries + "]}";
}

}  // namespace review
