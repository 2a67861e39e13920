#include "clients.h"

#include <cstdio>
#include <random>
#include <thread>

#include "record.h"
#include "stand_ins.h"

namespace review {
namespace {

// A final answer counts up to half a second after the request's time; every limit is 50 ms longer on sockets.
constexpr double kAnswerSlack = 0.55;
constexpr int kAccounts = 100;

std::string hex16(std::uint64_t value) {
    char text[32];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
    return text;
}

std::uint64_t randomNumber() {
    thread_local std::mt19937_64 random{std::random_device{}()};
    return random();
}

Request makeRequest(const std::string& method, const std::string& requestClass, std::uint64_t account,
                    int timeoutMs, const std::string& body) {
    Request request;
    request.id = hex16(randomNumber());
    request.timeout = timeoutMs / 1000.0;
    request.text = method + " /" + requestClass +
                   "/agreements HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: " + request.id +
                   "\r\nRequest-Class: " + requestClass +
                   "\r\nX-Contract: kunta\r\nX-Client-Id: " + hex16(account) +
                   "\r\nRequest-Timeout-Ms: " + std::to_string(timeoutMs) +
                   "\r\nX-Metering: units=1,spread=2,first=0\r\n";
    if (method == "POST") request.text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    request.text += "\r\n" + body;
    return request;
}

std::string describe(const Result& result) {
    std::string text = "request " + result.id + ": first try " + toText(result.firstTry);
    if (result.hasSecondTry)
        text += ", second try on a new connection " + std::string(toText(result.secondTry));
    text += result.status == 0 ? ", no answer" : ", answer " + std::to_string(result.status);
    return text + ", run " + std::to_string(timesRun(result.id)) + " times";
}

}  // namespace

Request makeRead(std::uint64_t account, int timeoutMs) {
    return makeRequest("GET", "record-read", account, timeoutMs, "");
}

Request makeEntry(std::uint64_t account, int timeoutMs, const std::string& body) {
    return makeRequest("POST", "hours-entry", account, timeoutMs, body);
}

std::vector<Result> UsualClients::run(double perSecond, double seconds) {
    std::vector<Result> results;
    std::mutex resultsMutex;
    std::vector<std::thread> threads;
    const double start = elapsed();
    const int count = static_cast<int>(perSecond * seconds);
    for (int i = 0; i < count; ++i) {
        sleepSeconds(start + i / perSecond - elapsed());
        threads.emplace_back([this, i, &results, &resultsMutex] {
            const auto account = static_cast<std::uint64_t>(i % kAccounts);
            const Request request =
                i % 3 == 2 ? makeEntry(account, 6000, "hours=7.5\n") : makeRead(account, 4500);
            const Result result = exchange(request);
            record(describe(result));
            const std::lock_guard lock(resultsMutex);
            results.push_back(result);
        });
    }
    for (std::thread& thread : threads) thread.join();
    return results;
}

Result UsualClients::exchange(const Request& request) {
    Result result;
    result.id = request.id;
    const double sentAt = elapsed();
    ConnectionPtr connection = takeFree();
    if (!connection) connection = openNew();
    result.firstTry = tryOn(connection, request, sentAt, result);
    if (result.firstTry != Received::end && result.firstTry != Received::reset) return result;
    result.hasSecondTry = true;
    result.secondTry = tryOn(openNew(), request, sentAt, result);
    return result;
}

// Returns how the try ended: `data` if there is a whole answer.
Received UsualClients::tryOn(const ConnectionPtr& connection, const Request& request, double sentAt,
                             Result& result) {
    if (!connection->socket.isOpen() || !connection->socket.send(request.text)) return Received::reset;
    Message answer;
    const Received received =
        connection->reader.read(answer, sentAt + request.timeout + kAnswerSlack - elapsed());
    if (received != Received::data) return received;
    result.status = answer.status();
    result.isForeign = result.status == 200 && answer.body != RecordsServer::bodyOf(request.id);
    if (answer.header("connection") != "close") {
        const std::lock_guard lock(mutex_);
        free_.push_back(connection);
    }
    return received;
}

UsualClients::ConnectionPtr UsualClients::takeFree() {
    const std::lock_guard lock(mutex_);
    if (free_.empty()) return nullptr;
    const ConnectionPtr connection = free_.back();
    free_.pop_back();
    return connection;
}

UsualClients::ConnectionPtr UsualClients::openNew() const {
    return std::make_shared<Connection>(connectTo(port_));
}

}  // namespace review
