// Takes whole JSON documents out of a stream of bytes, however they are laid out over its lines.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "settings/input_error.h"

namespace gateway::net {

// Documents may come indented, several in one piece or one in many: only its closing bracket ends one. What
// it holds is checked by who parses it.
class JsonStream {
public:
    // Hands every document that is whole by now to `take`, in order. Throws EndpointListError where what
    // stands between two documents can't begin one.
    template <class Take>
    void put(std::string_view bytes, Take&& take) {
        for (const char c : bytes) {
            if (depth_ == 0 && isSpace(c)) continue;
            if (depth_ == 0 && c != '{' && c != '[') throw EndpointListError("stream", "not a JSON object");
            held_ += c;
            if (!closesDocument(c)) continue;
            take(std::string_view(held_));
            held_.clear();
        }
    }

    // Bytes of a document that is not whole yet.
    std::size_t held() const { return held_.size(); }

private:
    static bool isSpace(char c) { return c == ' ' || c == '\n' || c == '\r' || c == '\t'; }

    bool closesDocument(char c) {
        if (inString_) {
            inString_ = escaped_ || c != '"';
            escaped_ = !escaped_ && c == '\\';
            return false;
        }
        if (c == '"') inString_ = true;
        if (c == '{' || c == '[') ++depth_;
        return (c == '}' || c == ']') && --depth_ == 0;
    }

    std::string held_;
    int depth_ = 0;
    bool inString_ = false;
    bool escaped_ = false;
};

}  // namespace gateway::net
