#include "record.h"

#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <thread>

namespace review {
namespace {

const SteadyClock::time_point kStart = SteadyClock::now();
std::FILE* file = nullptr;
std::mutex fileMutex;

}  // namespace

double elapsed() {
    return std::chrono::duration<double>(SteadyClock::now() - kStart).count();
}

void openRecord(const std::string& path) {
    file = std::fopen(path.c_str(), "w");
    if (file == nullptr) std::exit(2);
}

void record(const std::string& line) {
    const std::lock_guard lock(fileMutex);
    std::fprintf(file, "%9.4f %s\n", elapsed(), line.c_str());
    std::fflush(file);
}

bool isTroubled() {
    const char* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

void sleepSeconds(double seconds) {
    if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

}  // namespace review
