#include "simulator/stream_server.h"

#include <cstddef>
#include <optional>
#include <string>

#include "settings/json_fields.h"
#include "simulator/batch_handler.h"

namespace gateway::simulator {
namespace {

bool isBlank(const std::string& line) {
    return line.find_first_not_of(" \t\r") == std::string::npos;
}

}  // namespace

void serve(std::istream& in, std::ostream& out) {
    BatchHandler handler;
    std::string line;
    for (std::size_t number = 1; std::getline(in, line); ++number) {
        if (isBlank(line)) continue;
        const std::string place = "line " + std::to_string(number) + ": ";
        try {
            if (const std::optional<std::string> reply = handler.handleLine(line)) {
                out << *reply;
                out.flush();
            }
        } catch (const FieldError& e) {
            throw SimulatorInputError(place + e.place(), e.reason());
        } catch (const Json::exception& e) {
            throw SimulatorInputError(place + "JSON", e.what());
        }
    }
    if (handler.isInBatch())
        throw SimulatorInputError("end of input",
                                  "the last batch has not ended: an eofBatch message is missing");
}

}  // namespace gateway::simulator
