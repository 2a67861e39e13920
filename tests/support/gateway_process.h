// The real gateway in a process of its own, and what its peers say: for tests over loopback sockets.
#pragma once

#include <sys/resource.h>
#include <sys/wait.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <vector>

#include "net/server/service.h"
#include "support/loopback_peers.h"

namespace gateway::net::test {

using gateway::Json;

inline Json settings() {
    return Json::parse(R"({
      "allowed": {"cancel": true, "dialTimeoutS": 5, "keepaliveS": 60, "maxAttempts": 4,
                  "maxRetryAfterS": 0.5,
                  "probes": true, "retryAfter": true},
      "balancers": 3, "me": 0, "locality": 0, "discovery": "push",
      "classes": [{"aimS": 9, "deadlineS": 9, "effect": "safe", "name": "load"},
                  {"aimS": 9, "deadlineS": 9, "effect": "keyed", "group": "cell", "windowS": 30,
                   "name": "change"},
                  {"aimS": 9, "deadlineS": 9, "effect": "unsafe", "name": "spend"}],
      "contracts": [{"name": "team", "perSecond": 0.01, "depth": 40}, {"name": "free"}],
      "domain": {"mayCount": false, "maxUnits": 4},
      "report": {"how": "inline", "fields": ["rif"]},
      "rules": {"answerSlackS": 0.016, "coldFrom": 0.25, "drainGraceS": 0.05, "fallMultiple": 2,
                "tipAfterS": 2, "warmWithinS": 17},
      "weights": "off", "zones": ["a", "b"], "kinds": ["m"]})");
}

inline Json target(const std::string& name, const Server& endpoint,
                   const std::string& status = "in_service") {
    return {{"name", name}, {"address", endpoint.address()},
            {"zone", "a"},  {"type", "m"},
            {"group", 0},   {"status", status},
            {"weight", 1},  {"since_ms", 0}};
}

inline std::string chunk(const std::string& text) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx", text.size());
    return size + std::string("\r\n") + text + "\r\n";
}

inline std::string listLine(int index, bool full, const std::vector<Json>& endpoints) {
    return chunk(Json{{"index", index}, {"snapshot", full}, {"endpoints", Json(endpoints)}}.dump() + "\n");
}

// A gateway in a process of its own. Ends with the test.
using Targets = std::vector<Json>;

class GatewayProcess {
public:
    explicit GatewayProcess(Targets known, Json settingsOfDay = settings(),
                            const std::function<void(Json&)>& change = {}, rlim_t descriptors = 0) {
        Json config{{"name", "n0"},
                    {"listen", "127.0.0.1:0"},
                    {"discovery", discovery.address()},
                    {"seed", "8c1f30d27a5be964"},
                    {"limits", {{"sockets", 256}}},
                    {"settings", std::move(settingsOfDay)},
                    {"known", {{"index", 41}, {"snapshot", true}, {"endpoints", Json(std::move(known))}}}};
        if (change) change(config);
        file_ =
            testing::TempDir() + "gateway-" + std::to_string(::getpid()) + "-" + std::to_string(instances++);
        config_ = config;
        int ends[2];
        if (::pipe(ends) != 0) throw std::runtime_error("pipe");
        pid_ = ::fork();
        if (pid_ == 0) {
            int code = 1;
            ::setenv("EDGE_CONFIG", file_.c_str(), 1);
            ::setenv("EDGE_DISCOVERY", config["discovery"].get<std::string>().c_str(), 1);
            try {
                if (descriptors > 0) {
                    const rlimit limit{descriptors, descriptors};
                    ::setrlimit(RLIMIT_NOFILE, &limit);
                }
                Config read = readConfig(config.dump());
                // So that a slow machine sees it listen.
                read.timing.listenAfterShutdown =
                    std::chrono::milliseconds(config.value("stillListenMs", 3000));
                read.timing.idleGracePeriod = std::chrono::milliseconds(config.value("idleStaysMs", 3000));
                read.timing.initialUpdateWait = std::chrono::milliseconds(config.value("listWaitMs", 0));
                if (config.contains("emptyWaitMs"))
                    read.timing.emptyListWait = std::chrono::milliseconds(config["emptyWaitMs"].get<int>());
                read.timing.reuseDelay = std::chrono::milliseconds(config.value("restMs", 0));
                if (config.contains("mostPartialMs"))
                    read.timing.maxPartialTime =
                        std::chrono::milliseconds(config["mostPartialMs"].get<int>());
                serve(read, [&](const Config::Address& at) {
                    const unsigned short told = at.port();
                    if (::write(ends[1], &told, sizeof told) != sizeof told) std::abort();
                });
                code = 0;
            } catch (const std::exception& e) {
                std::fprintf(stderr, "%s\n", e.what());
            }
            ::_exit(code);
        }
        ::close(ends[1]);
        if (::read(ends[0], &port, sizeof port) != sizeof port) port = 0;
        ::close(ends[0]);
    }
    GatewayProcess(const GatewayProcess&) = delete;
    GatewayProcess& operator=(const GatewayProcess&) = delete;
    ~GatewayProcess() {
        if (pid_ > 0) {
            ::kill(pid_, SIGKILL);
            ::waitpid(pid_, nullptr, 0);
        }
        std::remove(file_.c_str());
    }
    // Replaces the configuration's file and sends SIGHUP.
    void reload(const std::string& text) const {
        std::ofstream(file_) << text;
        ::kill(pid_, SIGHUP);
    }
    void reload(const Server& newDiscovery, const Server* newCounter = nullptr) const {
        Json changed = config_;
        changed["discovery"] = newDiscovery.address();
        if (newCounter != nullptr) changed["counter"] = newCounter->address();
        reload(changed.dump());
    }
    void terminate() const { ::kill(pid_, SIGTERM); }
    // What comes while it is stopped it finds all at once, in the order in which it came.
    template <class Meanwhile>
    void whileStopped(Meanwhile&& act) const {
        ::kill(pid_, SIGSTOP);
        int status = 0;
        ::waitpid(pid_, &status, WUNTRACED);
        act();
        ::kill(pid_, SIGCONT);
    }
    int wait() {
        int status = 0;
        ::waitpid(std::exchange(pid_, -1), &status, 0);
        return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    }
    long residentKb() const {
        std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
        for (std::string line; std::getline(status, line);)
            if (line.rfind("VmRSS:", 0) == 0) return std::stol(line.substr(6));
        return 0;
    }
    Socket client() const { return connectTo(port); }

    Server discovery;
    unsigned short port = 0;

private:
    inline static int instances = 0;
    pid_t pid_ = -1;
    std::string file_;
    Json config_;
};

// A client's request as PROTOCOL has it; a later header of the same name replaces the one here.
inline std::string tenantId = "00000000b4d65521";

// A tenant whose slice on the counter began within the last second. Team's slices are 20 s long, shifted by
// the tenant's number; a test in which the slice changes sees names and connections that it does not
// expect.
inline std::string tenantOfAYoungSlice() {
    constexpr std::uint64_t kSliceUs = 20'000'000, kShifts = 1024;
    const auto now = std::chrono::duration_cast<std::chrono::microseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    const std::uint64_t age = static_cast<std::uint64_t>(now.count()) % kSliceUs;
    for (std::uint64_t id = 0xb4d65521;; ++id) {
        const std::uint64_t shift = id * 2654435761u % kShifts * kSliceUs / kShifts;
        if ((age + shift) % kSliceUs >= kSliceUs / 20) continue;
        char hex[17];
        std::snprintf(hex, sizeof hex, "%016llx", static_cast<unsigned long long>(id));
        return hex;
    }
}

// While it lives, requests come from a tenant of a young slice.
class YoungSliceTenant {
public:
    YoungSliceTenant() : previous_(std::exchange(tenantId, tenantOfAYoungSlice())) {}
    YoungSliceTenant(const YoungSliceTenant&) = delete;
    YoungSliceTenant& operator=(const YoungSliceTenant&) = delete;
    ~YoungSliceTenant() { tenantId = previous_; }

private:
    std::string previous_;
};

inline std::string request(const std::string& cls, const std::string& id, int timeoutMs = 8000,
                           const std::string& body = "",
                           const std::string& metering = "units=1,spread=1,first=0") {
    const bool get = cls == "load";
    std::string text =
        (get ? "GET /" : "POST /") + cls + "?slot=7 HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: " + id +
        "\r\nRequest-Class: " + cls + "\r\nX-Contract: team\r\nX-Client-Id: " + tenantId +
        "\r\nRequest-Timeout-Ms: " + std::to_string(timeoutMs) + "\r\nX-Metering: " + metering + "\r\n";
    if (!get)
        text += "Idempotency-Key: k-" + id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

// So many requests one after the other reach `endpoint`, each on a connection of its own, and are served.
inline void expectServedBy(const GatewayProcess& gateway, Server& endpoint, int requests) {
    for (int i = 0; i < requests; ++i) {
        Socket client = gateway.client();
        client.write(request("spend", "r" + std::to_string(i), 8000, "x"));
        Socket connection = endpoint.accept();
        connection.message();
        connection.write("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        EXPECT_EQ(statusOf(client.message()), 200);
    }
}

}  // namespace gateway::net::test
