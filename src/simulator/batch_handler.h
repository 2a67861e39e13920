// Runs the simulated gateways on the simulator's batches of messages.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "gateway/decision_engine.h"
#include "gateway/types.h"
#include "settings/json_fields.h"

namespace gateway::simulator {

// Handles one batch at a time: passes each event to its gateway's engine, and collects the engines' actions
// until the batch ends. The gateways share no state.
class BatchHandler {
public:
    // Handles one line, which holds one message. Returns the reply to the batch, as complete lines, if the
    // line ends the batch. Throws FieldError if the line is malformed.
    std::optional<std::string> handleLine(const std::string& line);

    // True if a batch has begun and has not ended yet.
    bool isInBatch() const { return isInBatch_; }

private:
    struct Gateway {
        DecisionEngine engine;
        int classCount;
        int planCount;  // 0: a request may have any plan index
    };

    void beginBatch(const Fields& fields);
    std::string endBatch();
    void handleMessage(const std::string& name, const Fields& fields);
    void startGateway(int number, const Fields& fields);
    void handleEvent(int number, Gateway& gateway, const Event& event);
    static void checkIndices(const Gateway& gateway, const RequestArrived& arrival, const Fields& fields);

    std::map<int, Gateway> gateways_;  // by the number in the field "gatekeeper"
    TimePoint now_{};
    bool isInBatch_ = false;
    std::string reply_;
    Actions actions_;  // of one event; a member so that its memory is reused
};

}  // namespace gateway::simulator
