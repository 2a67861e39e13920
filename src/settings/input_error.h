// Errors of input from outside: where it stands, and what is wrong with it.
//
// docs/architecture.md has the rule: what is read once or seldom (configuration, settings, discovery's lists,
// the simulator's lines) throws the type of its boundary; what comes with every request is reported by a
// result.
#pragma once

#include <stdexcept>
#include <string>
#include <utility>

namespace gateway {

// Input that can't be used. what() is one line, "place: reason".
class InputError : public std::runtime_error {
public:
    InputError(std::string place, std::string reason)
        : std::runtime_error(place + ": " + reason), place_(std::move(place)), reason_(std::move(reason)) {}

    const std::string& place() const { return place_; }
    const std::string& reason() const { return reason_; }

private:
    std::string place_;
    std::string reason_;
};

// A field of a JSON document. Boundaries turn it into their own type by readInput().
class FieldError final : public InputError {
    using InputError::InputError;
};

// EDGE_CONFIG, or the environment.
class ConfigError final : public InputError {
    using InputError::InputError;
};

// A list of endpoints that discovery reported.
class EndpointListError final : public InputError {
    using InputError::InputError;
};

// A line of the simulator's wire.
class WireError final : public InputError {
    using InputError::InputError;
};

// Runs `read`; what is wrong with a field comes out as `Error`.
template <class Error, class Read>
auto readInput(Read&& read) {
    try {
        return std::forward<Read>(read)();
    } catch (const FieldError& e) {
        throw Error(e.place(), e.reason());
    }
}

}  // namespace gateway
