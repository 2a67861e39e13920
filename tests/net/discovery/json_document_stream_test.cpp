#include "net/discovery/json_document_stream.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "settings/input_error.h"

namespace gateway::net::test {
namespace {

class JsonDocumentStreamTest : public testing::Test {
protected:
    void append(std::string_view bytes) {
        stream.append(bytes, [this](std::string_view document) { documents.emplace_back(document); });
    }

    using Documents = std::vector<std::string>;
    JsonDocumentStream stream;
    Documents documents;
};

TEST_F(JsonDocumentStreamTest, SplitsSeveralDocumentsOfOnePiece) {
    append("{\"a\":1}\n\n{\"b\":[2]}[3]");
    EXPECT_EQ(documents, (Documents{"{\"a\":1}", "{\"b\":[2]}", "[3]"}));
}

TEST_F(JsonDocumentStreamTest, JoinsDocumentThatArrivesInPieces) {
    const std::string text = "{\"a\":\r\n  {\"b\":[]}}";
    for (const char character : text) append({&character, 1});
    EXPECT_EQ(documents, Documents{text});
    EXPECT_EQ(stream.pendingBytes(), 0U);
}

TEST_F(JsonDocumentStreamTest, IgnoresBracketsAndEscapedQuotesInStrings) {
    append(R"({"a":"}]\"}\\"} )");
    EXPECT_EQ(documents, Documents{R"({"a":"}]\"}\\"})"});
}

TEST_F(JsonDocumentStreamTest, CountsBytesOfIncompleteDocument) {
    append(" \n");
    EXPECT_EQ(stream.pendingBytes(), 0U);
    append("{\"a\"");
    EXPECT_EQ(stream.pendingBytes(), 4U);
    EXPECT_TRUE(documents.empty());
}

TEST_F(JsonDocumentStreamTest, ThrowsOnTextBetweenDocuments) {
    append("{}");
    EXPECT_THROW(append(" x"), EndpointListError);
    EXPECT_EQ(documents, Documents{"{}"});
}

}  // namespace
}  // namespace gateway::net::test
