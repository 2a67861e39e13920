// Simulated gateways, which handle the simulator's batches of events.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "gateway/decision_engine.h"
#include "gateway/types.h"
#include "settings/json_fields.h"

namespace gateway::simulator {

// Handles one batch at a time: passes each event to its gateway's engine, and collects the engines' actions
// until the batch ends. Gateways share nothing.
class BatchServer {
public:
    // Handles one line. Returns the reply, with its line ends, if the line ends a batch. Throws FieldError if
    // the line is malformed.
    std::optional<std::string> handleLine(const std::string& line);

    // A batch has begun and not ended.
    bool isInBatch() const { return isInBatch_; }

private:
    struct Gateway {
        DecisionEngine engine;
        int classCount;
        int planCount;  // 0: requests may name any plan
    };

    void beginBatch(const Fields& fields);
    std::string endBatch();
    void handleMessage(const std::string& name, const Fields& fields);
    void startGateway(int number, const Fields& fields);
    void handleEvent(int number, Gateway& gateway, const Event& event);
    static void checkIndices(const Gateway& gateway, const RequestArrived& arrival, const Fields& fields);

    std::map<int, Gateway> gateways_;  // by their number on the wire
    TimePoint now_{};
    bool isInBatch_ = false;
    std::string reply_;
    Actions actions_;  // kept for its capacity
};

}  // namespace gateway::simulator
