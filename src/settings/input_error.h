// Exceptions for invalid input from outside the process.
//
// Readers of rare input (configuration, settings, endpoint lists, the simulator's messages) throw the error
// type of the input's source. Readers of client requests and of responses report invalid input by their
// return value. See docs/architecture.md.
#pragma once

#include <stdexcept>
#include <string>
#include <utility>

namespace gateway {

// The base of the errors below. what() is one line, "place: reason".
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

// A missing or invalid field of a JSON document. rethrowFieldErrorAs() converts it to the error type of the
// document's source.
class FieldError final : public InputError {
    using InputError::InputError;
};

// An invalid configuration file, or an invalid environment variable.
class ConfigError final : public InputError {
    using InputError::InputError;
};

// An invalid document from discovery.
class EndpointListError final : public InputError {
    using InputError::InputError;
};

// An invalid line from the simulator.
class SimulatorInputError final : public InputError {
    using InputError::InputError;
};

// Calls `read` and returns its result. If `read` throws a FieldError, throws it as an `Error` instead.
template <class Error, class Read>
auto rethrowFieldErrorAs(Read&& read) {
    try {
        return std::forward<Read>(read)();
    } catch (const FieldError& e) {
        throw Error(e.place(), e.reason());
    }
}

}  // namespace gateway
