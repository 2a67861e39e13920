#include "settings/json_fields.h"

#include <cmath>
#include <utility>

namespace gateway {
namespace {

constexpr double kMaxInteger = 2e9;
constexpr double kMicrosPerSecond = 1e6;

Duration toDuration(double seconds) {
    return Duration(std::llround(seconds * kMicrosPerSecond));
}

// Returns the reason of an error, for example "must be a number, found string".
std::string wrongType(const char* expected, const Json& found) {
    return std::string("must be ") + expected + ", found " + found.type_name();
}

}  // namespace

Json parseJson(std::string_view text, const std::string& place) {
    try {
        return Json::parse(text);
    } catch (const Json::parse_error& e) {
        throw FieldError(place, std::string("is not valid JSON: ") + e.what());
    }
}

Fields::Fields(const Json& object, std::string path) : object_(object), path_(std::move(path)) {
    if (!object_.is_object()) throwError("", wrongType("an object", object_));
}

void Fields::throwError(const std::string& key, const std::string& reason) const {
    throw FieldError(key.empty() ? path_ : pathTo(key), reason);
}

// ---- Fields of any type ---------------------------------------------------------------------------

const Json* Fields::find(const char* key) const {
    const auto found = object_.find(key);
    return found == object_.end() || found->is_null() ? nullptr : &*found;
}

const Json& Fields::at(const char* key) const {
    const Json* const value = find(key);
    if (value == nullptr) throwError(key, "is missing");
    return *value;
}

// ---- Numbers --------------------------------------------------------------------------------------

double Fields::asNumber(const char* key, const Json& value) const {
    if (!value.is_number()) throwError(key, wrongType("a number", value));
    return value.get<double>();
}

double Fields::number(const char* key) const {
    return asNumber(key, at(key));
}

double Fields::number(const char* key, double defaultValue) const {
    const Json* const value = find(key);
    return value == nullptr ? defaultValue : asNumber(key, *value);
}

std::uint64_t Fields::unsignedInteger(const char* key) const {
    const Json& value = at(key);
    if (!value.is_number_integer() || (!value.is_number_unsigned() && value.get<std::int64_t>() < 0))
        throwError(key, "must be a whole number of 0 or more");
    return value.get<std::uint64_t>();
}

int Fields::asInteger(const char* key, double value) const {
    if (value != std::floor(value) || std::abs(value) > kMaxInteger)
        throwError(key, "must be a whole number from -2000000000 to 2000000000");
    return static_cast<int>(value);
}

int Fields::integer(const char* key) const {
    return asInteger(key, number(key));
}

int Fields::integer(const char* key, int defaultValue) const {
    return asInteger(key, number(key, defaultValue));
}

// ---- Times ----------------------------------------------------------------------------------------

Duration Fields::seconds(const char* key) const {
    return toDuration(number(key));
}

Duration Fields::seconds(const char* key, double defaultSeconds) const {
    return toDuration(number(key, defaultSeconds));
}

TimePoint Fields::timePoint(const char* key) const {
    return TimePoint(seconds(key));
}

TimePoint Fields::timePoint(const char* key, double defaultSeconds) const {
    return TimePoint(seconds(key, defaultSeconds));
}

// ---- Booleans and strings -------------------------------------------------------------------------

bool Fields::flag(const char* key) const {
    const Json* const value = find(key);
    if (value == nullptr) return false;
    if (!value->is_boolean()) throwError(key, wrongType("true or false", *value));
    return value->get<bool>();
}

const std::string& Fields::text(const char* key) const {
    const Json& value = at(key);
    if (!value.is_string()) throwError(key, wrongType("a string", value));
    return value.get_ref<const std::string&>();
}

std::string Fields::text(const char* key, const std::string& defaultValue) const {
    return has(key) ? text(key) : defaultValue;
}

// ---- Objects and arrays ---------------------------------------------------------------------------

Fields Fields::object(const char* key) const {
    return Fields(at(key), pathTo(key));
}

const Json& Fields::arrayAt(const char* key) const {
    const Json& list = at(key);
    if (!list.is_array()) throwError(key, wrongType("an array", list));
    return list;
}

std::string Fields::itemPath(const char* key, std::size_t index) const {
    return pathTo(key) + "[" + std::to_string(index) + "]";
}

}  // namespace gateway
