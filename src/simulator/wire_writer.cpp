#include "simulator/wire_writer.h"

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <utility>
#include <variant>

namespace gateway::simulator {
namespace {

using Json = nlohmann::json;

double toSeconds(Duration duration) {
    return std::chrono::duration<double>(duration).count();
}

// The name and the fields of a message to the simulator.
struct Message {
    const char* name;
    Json fields;
};

struct ActionTranslator {
    Message operator()(const SendAttempt& action) const {
        Json fields{{"corr", action.request.value()}, {"worker", action.endpoint.value()}};
        if (action.timeout != Duration::zero()) fields["capS"] = toSeconds(action.timeout);
        return {"send", std::move(fields)};
    }
    Message operator()(const CancelAttempt& action) const {
        return {"retract", {{"corr", action.request.value()}, {"trial", action.attempt}}};
    }
    Message operator()(const RejectRequest& action) const {
        Json fields{{"corr", action.request.value()}};
        if (action.retryAfter > Duration::zero()) fields["retryInS"] = toSeconds(action.retryAfter);
        return {"pushBack", std::move(fields)};
    }
    Message operator()(const FailRequest& action) const {
        return {"respondError", {{"corr", action.request.value()}}};
    }
    Message operator()(const AddToCounter& action) const {
        return {
            "postAmount",
            {{"counter", action.name}, {"n", action.amount}, {"forgetAfterS", toSeconds(action.timeToLive)}}};
    }
    Message operator()(const SetTimer& action) const {
        return {"sleep",
                {{"ref", std::to_string(static_cast<std::uint64_t>(action.timer))},
                 {"afterS", toSeconds(action.delay)}}};
    }
    Message operator()(const WatchEndpoints&) const { return {"track", {{"active", true}}}; }
};

}  // namespace

std::string writeAction(int gateway, const Action& action) {
    Message message = std::visit(ActionTranslator{}, action);
    message.fields["gatekeeper"] = gateway;
    return Json{{message.name, std::move(message.fields)}}.dump();
}

}  // namespace gateway::simulator
