// The record of a run: one line for each thing that was sent, answered or run.
#pragma once

#include <chrono>
#include <string>

namespace review {

using SteadyClock = std::chrono::steady_clock;

// Seconds since the program started.
double elapsed();

// Opens the file that record() writes to. Must be called before any other thread starts.
void openRecord(const std::string& path);

// Writes one line with the elapsed time. Can be called from any thread.
void record(const std::string& line);

// Returns whether the run includes the disruption: true unless the environment says TROUBLE=0.
bool isTroubled();

void sleepSeconds(double seconds);

}  // namespace review
