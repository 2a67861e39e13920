// The end of HTTP responses whose length is not announced: they end with their connection (RFC 9112, section
// 6.3, item 8).
#pragma once

#include <boost/beast/http/field.hpp>
#include <boost/system/error_code.hpp>

namespace gateway::net {

// Returns whether the response that `parser` is reading ends with its connection. Returns false while the
// header is incomplete.
template <class Parser>
bool endsWithConnection(const Parser& parser) {
    return parser.is_header_done() && parser.need_eof();
}

// Returns whether the body of the response is in a transfer coding that the parser does not decode, so that
// the body that it returns is not the one that was sent.
template <class Parser>
bool hasUnknownTransferCoding(const Parser& parser) {
    namespace http = boost::beast::http;
    return endsWithConnection(parser) && parser.get().count(http::field::transfer_encoding) > 0;
}

// Completes a response that ends with its connection. Call it when the peer has closed the connection in
// order; a connection that fails, for example by a reset, may have lost the rest of the response. Returns
// whether the response is complete now.
template <class Parser>
bool completeAtEndOfStream(Parser& parser) {
    if (!endsWithConnection(parser) || hasUnknownTransferCoding(parser)) return false;
    boost::system::error_code ec;
    parser.put_eof(ec);
    return !ec;
}

}  // namespace gateway::net
