#include "simulator/batch_handler.h"

#include <utility>
#include <variant>

#include "settings/settings_json.h"
#include "simulator/action_writer.h"
#include "simulator/event_reader.h"

namespace gateway::simulator {
namespace {

// Parses a message: a JSON object whose only key is the name of the message.
Json parseMessage(const std::string& line) {
    Json message;
    try {
        message = Json::parse(line);
    } catch (const Json::parse_error& e) {
        throw FieldError("message", std::string("is not valid JSON: ") + e.what());
    }
    if (!message.is_object() || message.size() != 1)
        throw FieldError("message", "must be a JSON object with one key, the name of the message");
    return message;
}

}  // namespace

std::optional<std::string> BatchHandler::handleLine(const std::string& line) {
    const Json message = parseMessage(line);
    const std::string& name = message.begin().key();
    const Fields fields(message.begin().value(), name);
    if (name == "tick") {
        beginBatch(fields);
        return std::nullopt;
    }
    if (!isInBatch_) fields.throwError("", "is outside a batch: a tick message must come first");
    if (name == "eofBatch") return endBatch();
    handleMessage(name, fields);
    return std::nullopt;
}

void BatchHandler::beginBatch(const Fields& fields) {
    if (isInBatch_) fields.throwError("", "the previous batch has not ended: an eofBatch message is missing");
    now_ = fields.timePoint("momentS");
    isInBatch_ = true;
}

std::string BatchHandler::endBatch() {
    isInBatch_ = false;
    std::string reply = std::exchange(reply_, {});
    reply += "{\"ready\":{}}\n";
    return reply;
}

void BatchHandler::handleMessage(const std::string& name, const Fields& fields) {
    const int number = fields.integer("gatekeeper");
    if (name == "enlist") {
        startGateway(number, fields);
        return;
    }
    const auto found = gateways_.find(number);
    if (found == gateways_.end())
        fields.throwError("gatekeeper", "gateway " + std::to_string(number) +
                                            " is not enlisted: an enlist message must come first");
    if (name == "shutdown") {
        gateways_.erase(found);
        return;
    }
    const std::optional<Event> event = readEvent(name, fields);
    if (!event) return;
    if (const auto* arrival = std::get_if<RequestArrived>(&*event))
        checkIndices(found->second, *arrival, fields);
    handleEvent(number, found->second, *event);
}

// Replaces a gateway that already has this number: the new one starts without any state.
void BatchHandler::startGateway(int number, const Fields& fields) {
    Settings settings = readSettings(fields.object("info"));
    const int classCount = static_cast<int>(settings.classes.size());
    const int planCount = static_cast<int>(settings.plans.size());
    DecisionEngine engine(std::move(settings), fields.unsignedInteger("randomSeed"));
    gateways_.insert_or_assign(number, Gateway{std::move(engine), classCount, planCount});
}

void BatchHandler::handleEvent(int number, Gateway& gateway, const Event& event) {
    actions_.clear();
    gateway.engine.handle(now_, event, actions_);
    for (const Action& action : actions_) {
        reply_ += writeAction(number, action);
        reply_ += '\n';
    }
}

// The engine doesn't check the indices in an event: they must exist in its settings.
void BatchHandler::checkIndices(const Gateway& gateway, const RequestArrived& arrival, const Fields& fields) {
    const int classIndex = static_cast<int>(arrival.requestClass);
    if (classIndex < 0 || classIndex >= gateway.classCount)
        fields.throwError("priority", std::to_string(classIndex) + " is not an index into info.classes");
    const int plan = static_cast<int>(arrival.plan);
    if (plan < 0 || (gateway.planCount > 0 && plan >= gateway.planCount))
        fields.throwError("contract", std::to_string(plan) + " is not an index into info.contracts");
}

}  // namespace gateway::simulator
