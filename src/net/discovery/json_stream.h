// Takes whole JSON values out of a stream of bytes, however they are laid out over its lines.
#pragma once

#include <string>
#include <string_view>

#include "settings/json_fields.h"

namespace gateway::net {

// Objects may come indented, several in one piece or one in many: only its closing bracket ends one. What it
// holds is checked by who parses it.
class JsonStream {
public:
    // Hands every value that is whole by now to `take`, in order. Throws FieldError where what stands between
    // two values can't begin one.
    template <class Take>
    void put(std::string_view bytes, Take&& take) {
        for (const char c : bytes) {
            if (depth_ == 0) {
                if (c == ' ' || c == '\n' || c == '\r' || c == '\t') continue;
                if (c != '{' && c != '[') throw FieldError("stream: not a JSON object");
            }
            held_ += c;
            if (inText_) {
                inText_ = escaped_ || c != '"';
                escaped_ = !escaped_ && c == '\\';
                continue;
            }
            if (c == '"') inText_ = true;
            if (c == '{' || c == '[') ++depth_;
            if ((c == '}' || c == ']') && --depth_ == 0) {
                take(std::string_view(held_));
                held_.clear();
            }
        }
    }
    // Bytes of a value that is not whole yet.
    std::size_t held() const { return held_.size(); }

private:
    std::string held_;
    int depth_ = 0;
    bool inText_ = false, escaped_ = false;
};

}  // namespace gateway::net
