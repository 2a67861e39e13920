#include "simulator/wire_server.h"

#include <map>
#include <string>
#include <utility>
#include <variant>

#include "gateway/decision_engine.h"
#include "settings/json_fields.h"
#include "settings/settings_json.h"
#include "simulator/wire_reader.h"
#include "simulator/wire_writer.h"

namespace gateway::simulator {
namespace {

// One simulated gateway, and the sizes that its requests' indexes must keep to.
struct Instance {
    DecisionEngine engine;
    int classes;
    int plans;  // 0: requests may name any
};

// Takes in one batch at a time: collects the actions of its events, and hands them out at its end.
class BatchServer {
public:
    // Takes one line; true when the batch is complete and its reply stands in `reply`. Throws FieldError.
    bool takeLine(const std::string& text, std::string& reply) {
        const Json message = parseLine(text);
        const std::string& name = message.begin().key();
        const Fields fields(message.begin().value(), name);
        if (name == "tick") {
            beginBatch(fields);
            return false;
        }
        if (!isOpen_) fields.complain("", "stands outside a batch");
        if (name == "eofBatch") {
            endBatch(reply);
            return true;
        }
        takeMessage(name, fields);
        return false;
    }

    bool isOpen() const { return isOpen_; }

private:
    static Json parseLine(const std::string& text) {
        Json message;
        try {
            message = Json::parse(text);
        } catch (const Json::parse_error& e) {
            throw FieldError("not JSON", e.what());
        }
        if (!message.is_object() || message.size() != 1)
            throw FieldError("message", "must be an object with one key, its name");
        return message;
    }

    void beginBatch(const Fields& fields) {
        if (isOpen_) fields.complain("", "the batch before has not ended");
        now_ = fields.timePoint("momentS");
        isOpen_ = true;
    }

    void endBatch(std::string& reply) {
        isOpen_ = false;
        reply = std::exchange(reply_, {});
        reply += "{\"ready\":{}}\n";
    }

    void takeMessage(const std::string& name, const Fields& fields) {
        const int gateway = fields.integer("gatekeeper");
        if (name == "enlist") return enlist(gateway, fields);
        const auto found = instances_.find(gateway);
        if (found == instances_.end())
            fields.complain("gatekeeper", "number " + std::to_string(gateway) + " was never enlisted");
        if (name == "shutdown") {
            instances_.erase(found);
            return;
        }
        const std::optional<Event> event = readEvent(name, fields);
        if (!event) return;
        if (const auto* arrival = std::get_if<RequestArrived>(&*event))
            check(found->second, *arrival, fields);
        actions_.clear();
        found->second.engine.handle(now_, *event, actions_);
        for (const Action& action : actions_) (reply_ += writeAction(gateway, action)) += '\n';
    }

    void enlist(int gateway, const Fields& fields) {
        Settings settings = readSettings(fields.object("info"));
        const int classes = static_cast<int>(settings.classes.size());
        const int plans = static_cast<int>(settings.plans.size());
        DecisionEngine engine(std::move(settings), fields.unsignedInteger("randomSeed"));
        instances_.insert_or_assign(gateway, Instance{std::move(engine), classes, plans});
    }

    static void check(const Instance& instance, const RequestArrived& arrival, const Fields& fields) {
        const int requestClass = static_cast<int>(arrival.requestClass);
        if (requestClass < 0 || requestClass >= instance.classes)
            fields.complain("priority", "no such class");
        const int plan = static_cast<int>(arrival.plan);
        if (plan < 0 || (instance.plans > 0 && plan >= instance.plans))
            fields.complain("contract", "no such plan");
    }

    std::map<int, Instance> instances_;
    TimePoint now_{};
    bool isOpen_ = false;
    std::string reply_;
    Actions actions_;
};

}  // namespace

void serve(std::istream& in, std::ostream& out) {
    BatchServer server;
    std::string text;
    std::string reply;
    for (std::size_t number = 1; std::getline(in, text); ++number) {
        if (text.find_first_not_of(" \t\r") == std::string::npos) continue;
        const std::string place = "line " + std::to_string(number) + ": ";
        try {
            if (server.takeLine(text, reply)) (out << reply).flush();
        } catch (const FieldError& e) {
            throw WireError(place + e.place(), e.reason());
        } catch (const Json::exception& e) {
            throw WireError(place + "JSON", e.what());
        }
    }
    if (server.isOpen()) throw WireError("end of input", "the input ended inside a batch");
}

}  // namespace gateway::simulator
