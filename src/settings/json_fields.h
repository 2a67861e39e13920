// Reads typed fields out of JSON objects.
#pragma once

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "gateway/types.h"
#include "settings/input_error.h"

namespace gateway {

using Json = nlohmann::json;

// Parses a JSON document. Throws FieldError for `place` if the text is not JSON.
Json parseJson(std::string_view text, const std::string& place);

// One of the strings that a field may hold, and the value that it stands for.
template <class Value>
struct Choice {
    const char* word;
    Value value;
};

// Reads the fields of a JSON object. Does not own the object, which must outlive this reader.
//
// A field that is null counts as missing. The functions throw FieldError, with the path of the field, if the
// field has the wrong type. The functions without a default value throw it also if the field is missing,
// unless their comment says otherwise.
class Fields {
public:
    // `path` leads to the object in its document, for example "config.settings". Throws FieldError if
    // `object` is not a JSON object.
    Fields(const Json& object, std::string path);

    // Throws FieldError for a field of this object, or for the object itself if `key` is empty.
    [[noreturn]] void throwError(const std::string& key, const std::string& reason) const;

    // Returns the path of a field of this object, for errors about its value.
    std::string pathTo(const std::string& key) const { return path_ + "." + key; }

    // Returns null if the field is missing.
    const Json* find(const char* key) const;
    bool has(const char* key) const { return find(key) != nullptr; }

    // Returns the field, of any type. Throws FieldError if it is missing.
    const Json& at(const char* key) const;

    double number(const char* key) const;
    double number(const char* key, double defaultValue) const;

    std::uint64_t unsignedInteger(const char* key) const;
    int integer(const char* key) const;
    int integer(const char* key, int defaultValue) const;

    // Returns false if the field is missing.
    bool flag(const char* key) const;

    const std::string& text(const char* key) const;
    std::string text(const char* key, const std::string& defaultValue) const;

    // Reads a number of seconds.
    Duration seconds(const char* key) const;
    Duration seconds(const char* key, double defaultSeconds) const;

    // Reads a number of seconds since the epoch of FleetClock.
    TimePoint timePoint(const char* key) const;
    TimePoint timePoint(const char* key, double defaultSeconds) const;

    Fields object(const char* key) const;

    // Calls `visit` with the Fields of each object in an array.
    template <class Visit>
    void forEach(const char* key, Visit&& visit) const {
        const Json& list = arrayAt(key);
        for (std::size_t i = 0; i < list.size(); ++i) visit(Fields(list[i], itemPath(key, i)));
    }

    // Reads a string that must be one of `choices`, and returns the value that it stands for.
    template <class Value>
    Value choice(const char* key, std::initializer_list<Choice<Value>> choices) const {
        const std::string& word = text(key);
        for (const Choice<Value>& choice : choices)
            if (word == choice.word) return choice.value;
        std::string expected;
        for (const Choice<Value>& choice : choices)
            expected += (expected.empty() ? "'" : ", '") + std::string(choice.word) + "'";
        throwError(key, "must be one of " + expected + ", found '" + word + "'");
    }

private:
    const Json& arrayAt(const char* key) const;
    std::string itemPath(const char* key, std::size_t index) const;
    double asNumber(const char* key, const Json& value) const;
    int asInteger(const char* key, double value) const;

    const Json& object_;
    std::string path_;
};

}  // namespace gateway
