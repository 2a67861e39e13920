#include "deployment.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "record.h"

namespace review {
namespace {

constexpr double kReadyTimeout = 30;
constexpr double kEndTimeout = 4;

// Returns the value of `key` in the deploy file.
std::string deployCommand(const std::string& key) {
    std::ifstream file("deploy/balancer.toml");
    std::string line;
    while (std::getline(file, line)) {
        const std::string start = key + " = \"";
        if (line.starts_with(start)) return line.substr(start.size(), line.rfind('"') - start.size());
    }
    std::exit(2);
}

// The settings of a small deployment. The figures lie in the ranges of the site kirjaamo-helsinki.
std::string settings(int index, int gateways) {
    std::ostringstream text;
    text << R"({"me":)" << index << R"(,"balancers":)" << gateways << R"(,
  "locality":0,"zones":["hel-1"],"kinds":["small-2c"],"discovery":"push","weights":"nominal",
  "classes":[
    {"name":"record-read","effect":"safe","group":"all","windowS":5,"aimS":1.5,"deadlineS":6,"points":3},
    {"name":"hours-entry","effect":"unsafe","group":"all","windowS":5,"aimS":2,"deadlineS":8,"points":5}],
  "contracts":[
    {"name":"laaja","perSecond":9.7,"depth":48,"price":1.2,"overWorth":0,"overrunCost":1.0},
    {"name":"kunta","perSecond":24,"depth":64,"price":1.4,"overWorth":0,"overrunCost":0.5}],
  "allowed":{"cancel":true,"dialTimeoutS":0.25,"keepaliveS":30,"maxAttempts":4,"maxOpen":20000,
    "maxRetryAfterS":1,"parallelTries":true,"retryAfter":true},
  "domain":{"countFee":0.02,"counterTimeoutS":0.08,"maxUnits":4,"mayCount":true,"meteringS":1,
    "postPaid":true},
  "report":{"fields":[],"how":"off"},
  "rules":{"answerSlackS":0.008,"coldFrom":0.16,"drainGraceS":1,"fallMultiple":2.5,"mustAskInS":10,
    "tipAfterS":3,"warmWithinS":16}})";
    return text.str();
}

std::string makeFolder() {
    const char* const parent = std::getenv("TMPDIR");
    std::string path = std::string(parent != nullptr ? parent : "/tmp") + "/review-XXXXXX";
    if (::mkdtemp(path.data()) == nullptr) std::exit(2);
    return path;
}

// Replaces the child process by the shell that runs the deploy file's command.
[[noreturn]] void runCommand(const std::string& command, const std::string& config, const std::string& log,
                             int sockets) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // the gateway ends with this program
    const rlimit limit{static_cast<rlim_t>(sockets), static_cast<rlim_t>(sockets)};
    ::setrlimit(RLIMIT_NOFILE, &limit);
    const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(fd, STDOUT_FILENO);
    ::dup2(fd, STDERR_FILENO);
    ::close(fd);
    ::setenv("EDGE_CONFIG", config.c_str(), 1);
    ::execl("/bin/sh", "sh", "-c", command.c_str(), nullptr);
    ::_exit(127);
}

}  // namespace

// ---- GatewayProcess -------------------------------------------------------------------------------

GatewayProcess::GatewayProcess(int index, const std::string& config, const std::string& folder, int port,
                               int sockets)
    : name_("n" + std::to_string(index)), logPath_(folder + "/" + name_ + ".log"), port_(port) {
    const std::string configPath = folder + "/" + name_ + ".json";
    std::ofstream(configPath) << config;
    const std::string command = deployCommand("run");
    pid_ = ::fork();
    if (pid_ == 0) runCommand(command, configPath, logPath_, sockets);
    record("gateway " + name_ + " started by '" + command + "' as process " + std::to_string(pid_));
}

GatewayProcess::~GatewayProcess() {
    signal(SIGTERM);
    const double deadline = elapsed() + kEndTimeout;
    while (isRunning() && elapsed() < deadline) sleepSeconds(0.02);
    signal(SIGKILL);
    while (isRunning()) sleepSeconds(0.02);
    std::ifstream log(logPath_);
    std::string line;
    while (std::getline(log, line)) record("log of " + name_ + ": " + line);
}

bool GatewayProcess::waitUntilReady() {
    const double deadline = elapsed() + kReadyTimeout;
    while (elapsed() < deadline && isRunning()) {
        Socket socket = connectTo(port_);
        Message answer;
        if (socket.isOpen() &&
            socket.send("GET /-/ready HTTP/1.1\r\nHost: gateway\r\nConnection: close\r\n\r\n") &&
            MessageReader(socket).read(answer, 1) == Received::data && answer.status() == 200)
            return true;
        sleepSeconds(0.05);
    }
    return false;
}

void GatewayProcess::signal(int number) const {
    if (!hasEnded_) ::kill(pid_, number);
}

bool GatewayProcess::isRunning() {
    if (hasEnded_) return false;
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) != pid_) return true;
    hasEnded_ = true;
    record("gateway " + name_ + " ended " +
           (WIFSIGNALED(status) ? "by signal " + std::to_string(WTERMSIG(status))
                                : "with status " + std::to_string(WEXITSTATUS(status))));
    return false;
}

double GatewayProcess::residentMb() const {
    std::ifstream file("/proc/" + std::to_string(pid_) + "/statm");
    long pages = 0;
    long resident = 0;
    file >> pages >> resident;
    return static_cast<double>(resident) * static_cast<double>(::sysconf(_SC_PAGESIZE)) / (1 << 20);
}

// ---- Deployment -----------------------------------------------------------------------------------

Deployment::Deployment(const DeploymentOptions& options) : folder_(makeFolder()) {
    for (int i = 0; i < options.servers; ++i) servers_.emplace_back("s-" + std::to_string(i), options.answer);
    const std::string known = listOf(servers_);
    for (int i = 0; i < options.gateways; ++i) {
        const DiscoveryAgent& agent = agents_.emplace_back(known);
        const int port = findFreePort();
        std::ostringstream config;
        config << R"({"name":"n)" << i << R"(","listen":"127.0.0.1:)" << port
               << R"(","discovery":"127.0.0.1:)" << agent.port() << R"(","counter":"127.0.0.1:)"
               << counter_.port() << R"(","seed":"8c1f30d27a5be96)" << i
               << R"(","limits":{"cores":1.0,"memory_mb":)" << options.memoryMb << R"(,"sockets":)"
               << options.sockets << R"(},"known":)" << known << R"(,"settings":)"
               << settings(i, options.gateways) << "}\n";
        gateways_.push_back(
            std::make_unique<GatewayProcess>(i, config.str(), folder_, port, options.sockets));
        if (gateways_.back()->waitUntilReady()) continue;
        record("the gateway is not ready, so the case can't run");
        gateways_.clear();
        std::exit(2);
    }
}

Deployment::~Deployment() {
    gateways_.clear();
    std::error_code error;
    std::filesystem::remove_all(folder_, error);
}

}  // namespace review
