// Errors in input from outside the program: where they are, and what is wrong.
//
// Input that is read rarely (configuration, settings, endpoint lists, the simulator's lines) throws the error
// type of its boundary. Input that comes with every request is reported by a result. See
// docs/architecture.md.
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

    // Where the error is, for example "config.settings.classes[0].aimS".
    const std::string& place() const { return place_; }
    // What is wrong, for example "must be a number".
    const std::string& reason() const { return reason_; }

private:
    std::string place_;
    std::string reason_;
};

// A missing or invalid field of a JSON document. readInput() turns it into the error type of a boundary.
class FieldError final : public InputError {
    using InputError::InputError;
};

// The file that EDGE_CONFIG names, or the environment.
class ConfigError final : public InputError {
    using InputError::InputError;
};

// A document from discovery.
class EndpointListError final : public InputError {
    using InputError::InputError;
};

// A line from the simulator.
class WireError final : public InputError {
    using InputError::InputError;
};

// Calls `read` and returns its result. Throws a FieldError of `read` on as `Error`.
template <class Error, class Read>
auto readInput(Read&& read) {
    try {
        return std::forward<Read>(read)();
    } catch (const FieldError& e) {
        throw Error(e.place(), e.reason());
    }
}

}  // namespace gateway
