// Splits a stream of bytes into JSON documents.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace gateway::net {

// Splits a stream at the closing bracket of each document. A document may contain line breaks, and may arrive
// in several pieces; a piece may contain several documents. Examines only brackets and strings: the parser of
// a document checks the rest.
class JsonDocumentStream {
public:
    using DocumentHandler = std::function<void(std::string_view)>;

    // Appends `bytes` to the stream, and calls `onDocument` with each document that they complete, in order.
    // Throws EndpointListError if there are bytes other than white space between two documents.
    void append(std::string_view bytes, const DocumentHandler& onDocument);

    // Returns the number of bytes of the incomplete document; 0 between two documents.
    std::size_t pendingBytes() const { return pending_.size(); }

private:
    // Appends one character. Returns whether it completes the document.
    bool appendToDocument(char character);

    std::string pending_;
    int depth_ = 0;  // number of open brackets
    bool isInString_ = false;
    bool isEscaped_ = false;  // in a string, after a backslash that starts an escape sequence
};

}  // namespace gateway::net
