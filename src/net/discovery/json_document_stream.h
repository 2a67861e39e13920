// Finds complete JSON documents in a stream of bytes.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace gateway::net {

// Splits a stream at the closing bracket of each document. A document may be spread over lines and pieces,
// and a piece may hold several. Only brackets and strings are looked at: whoever parses a document checks the
// rest.
class JsonDocumentStream {
public:
    using DocumentHandler = std::function<void(std::string_view)>;

    // Appends `bytes` to the stream, and calls `onDocument` with each document that is complete, in order.
    // Throws EndpointListError if the bytes between two documents are not white space.
    void append(std::string_view bytes, const DocumentHandler& onDocument);

    // Returns the number of bytes of the document that is not complete; 0 between two documents.
    std::size_t pendingBytes() const { return pending_.size(); }

private:
    // Appends one character. Returns whether it completes the document.
    bool appendToDocument(char character);

    std::string pending_;
    int depth_ = 0;  // of brackets
    bool isInString_ = false;
    bool isEscaped_ = false;  // the character before was a backslash, in a string
};

}  // namespace gateway::net
