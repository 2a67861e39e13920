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

}  // namespace

Json parseJson(std::string_view text, const std::string& place) {
    try {
        return Json::parse(text);
    } catch (const Json::parse_error& e) {
        throw FieldError(place, std::string("not JSON: ") + e.what());
    }
}

Fields::Fields(const Json& object, std::string path) : object_(object), path_(std::move(path)) {
    if (!object_.is_object()) complain("", "must be an object");
}

void Fields::complain(const std::string& key, const std::string& reason) const {
    throw FieldError(key.empty() ? path_ : path_ + "." + key, reason);
}

// ---- Fields of any type ---------------------------------------------------------------------------

const Json* Fields::find(const char* key) const {
    const auto found = object_.find(key);
    return found == object_.end() || found->is_null() ? nullptr : &*found;
}

const Json& Fields::need(const char* key) const {
    const Json* const value = find(key);
    if (value == nullptr) complain(key, "is missing");
    return *value;
}

// ---- Numbers --------------------------------------------------------------------------------------

double Fields::asNumber(const char* key, const Json& value) const {
    if (!value.is_number()) complain(key, "must be a number");
    return value.get<double>();
}

double Fields::number(const char* key) const {
    return asNumber(key, need(key));
}

double Fields::number(const char* key, double defaultValue) const {
    const Json* const value = find(key);
    return value == nullptr ? defaultValue : asNumber(key, *value);
}

std::uint64_t Fields::unsignedInteger(const char* key) const {
    const Json& value = need(key);
    if (!value.is_number_integer() || (!value.is_number_unsigned() && value.get<std::int64_t>() < 0))
        complain(key, "must be a whole number of 0 or more");
    return value.get<std::uint64_t>();
}

int Fields::asInteger(const char* key, double value) const {
    if (value != std::floor(value) || std::abs(value) > kMaxInteger) complain(key, "must be a whole number");
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
    if (!value->is_boolean()) complain(key, "must be true or false");
    return value->get<bool>();
}

const std::string& Fields::text(const char* key) const {
    const Json& value = need(key);
    if (!value.is_string()) complain(key, "must be text");
    return value.get_ref<const std::string&>();
}

std::string Fields::text(const char* key, const std::string& defaultValue) const {
    return has(key) ? text(key) : defaultValue;
}

// ---- Objects and arrays ---------------------------------------------------------------------------

Fields Fields::object(const char* key) const {
    return Fields(need(key), path_ + "." + key);
}

const Json& Fields::needList(const char* key) const {
    const Json& list = need(key);
    if (!list.is_array()) complain(key, "must be a list");
    return list;
}

std::string Fields::itemPath(const char* key, std::size_t index) const {
    return path_ + "." + key + "[" + std::to_string(index) + "]";
}

}  // namespace gateway
