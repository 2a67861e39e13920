#include "net/discovery/json_document_stream.h"

#include "settings/input_error.h"

namespace gateway::net {
namespace {

bool isSpace(char character) {
    return character == ' ' || character == '\n' || character == '\r' || character == '\t';
}

}  // namespace

void JsonDocumentStream::append(std::string_view bytes, const DocumentHandler& onDocument) {
    for (const char character : bytes) {
        if (depth_ == 0 && isSpace(character)) continue;
        if (depth_ == 0 && character != '{' && character != '[')
            throw EndpointListError("targets", "must be a sequence of JSON documents, found other text");
        if (!appendToDocument(character)) continue;
        onDocument(pending_);
        pending_.clear();
    }
}

bool JsonDocumentStream::appendToDocument(char character) {
    pending_ += character;
    if (isInString_) {
        isInString_ = isEscaped_ || character != '"';
        isEscaped_ = !isEscaped_ && character == '\\';
        return false;
    }
    switch (character) {
        case '"':
            isInString_ = true;
            return false;
        case '{':
        case '[':
            ++depth_;
            return false;
        case '}':
        case ']':
            --depth_;
            return depth_ == 0;
        default:
            return false;
    }
}

}  // namespace gateway::net
