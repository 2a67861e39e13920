// Reads fields out of JSON objects and complains with their place. Decides nothing.
#pragma once

#include <cmath>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <utility>

#include "gateway/types.h"
#include "settings/input_error.h"

namespace gateway {

using Json = nlohmann::json;

// Throws FieldError, naming `place`, where the text is no JSON document.
inline Json parseJson(std::string_view text, const std::string& place) {
    try {
        return Json::parse(text);
    } catch (const Json::parse_error& e) {
        throw FieldError(place, std::string("not JSON: ") + e.what());
    }
}

// A JSON object and the path that leads to it, so that a complaint can name the place. Does not own the
// object. All readers throw FieldError where a field is missing or of another kind; a null field counts as
// missing.
class Fields {
public:
    Fields(const Json& object, std::string path) : object_(object), path_(std::move(path)) {
        if (!object_.is_object()) complain("", "must be an object");
    }

    [[noreturn]] void complain(const std::string& key, const std::string& reason) const {
        throw FieldError(key.empty() ? path_ : path_ + "." + key, reason);
    }

    // Null where there is no such field.
    const Json* find(const char* key) const {
        const auto found = object_.find(key);
        return found == object_.end() || found->is_null() ? nullptr : &*found;
    }
    bool has(const char* key) const { return find(key) != nullptr; }

    const Json& need(const char* key) const {
        const Json* value = find(key);
        if (value == nullptr) complain(key, "is missing");
        return *value;
    }

    double number(const char* key) const { return asNumber(key, need(key)); }
    double number(const char* key, double otherwise) const {
        const Json* value = find(key);
        return value == nullptr ? otherwise : asNumber(key, *value);
    }

    std::uint64_t unsignedInteger(const char* key) const {
        const Json& value = need(key);
        if (!value.is_number_integer() || (!value.is_number_unsigned() && value.get<std::int64_t>() < 0))
            complain(key, "must be a whole number of 0 or more");
        return value.get<std::uint64_t>();
    }

    int integer(const char* key) const { return asInteger(key, number(key)); }
    int integer(const char* key, int otherwise) const { return asInteger(key, number(key, otherwise)); }

    // False where it is missing.
    bool flag(const char* key) const {
        const Json* value = find(key);
        if (value == nullptr) return false;
        if (!value->is_boolean()) complain(key, "must be true or false");
        return value->get<bool>();
    }

    const std::string& text(const char* key) const {
        const Json& value = need(key);
        if (!value.is_string()) complain(key, "must be text");
        return value.get_ref<const std::string&>();
    }
    std::string text(const char* key, const std::string& otherwise) const {
        return has(key) ? text(key) : otherwise;
    }

    // A number of seconds.
    Duration seconds(const char* key) const { return toDuration(number(key)); }
    Duration seconds(const char* key, double otherwise) const { return toDuration(number(key, otherwise)); }

    // A number of seconds since the epoch of the fleet's clock.
    TimePoint timePoint(const char* key) const { return TimePoint(seconds(key)); }
    TimePoint timePoint(const char* key, double otherwise) const {
        return TimePoint(seconds(key, otherwise));
    }

    Fields object(const char* key) const { return Fields(need(key), path_ + "." + key); }

    // Calls `visit` with each object of a list.
    template <class Visit>
    void each(const char* key, Visit&& visit) const {
        const Json& list = need(key);
        if (!list.is_array()) complain(key, "must be a list");
        for (std::size_t i = 0; i < list.size(); ++i)
            visit(Fields(list[i], path_ + "." + key + "[" + std::to_string(i) + "]"));
    }

    // One of a few words.
    template <class Value>
    Value choice(const char* key, std::initializer_list<std::pair<const char*, Value>> words) const {
        const std::string& word = text(key);
        for (const auto& [name, value] : words)
            if (word == name) return value;
        complain(key, "unknown word '" + word + "'");
    }

private:
    static constexpr double kMaxInteger = 2e9;

    double asNumber(const char* key, const Json& value) const {
        if (!value.is_number()) complain(key, "must be a number");
        return value.get<double>();
    }
    int asInteger(const char* key, double value) const {
        if (value != std::floor(value) || std::abs(value) > kMaxInteger)
            complain(key, "must be a whole number");
        return static_cast<int>(value);
    }
    static Duration toDuration(double seconds) { return Duration(std::llround(seconds * 1e6)); }

    const Json& object_;
    std::string path_;
};

}  // namespace gateway
