#include "net/client/client_request_reader.h"

#include "net/transport/http_limits.h"

namespace gateway::net {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

using Parser = http::request_parser<http::string_body>;

// Returns the status to reject the request with, or nothing if reading can continue. `ec` is the parser's
// result.
std::optional<http::status> findRejectionStatus(const Parser& parser, const error_code& ec) {
    if (hasContentLengthOver(parser, kMaxBodyBytes)) return http::status::payload_too_large;
    if (hasTooManyFields(parser)) return http::status::request_header_fields_too_large;
    if (parser.is_header_done() && hasAmbiguousLength(parser.get())) return http::status::bad_request;
    if (!ec || ec == http::error::need_more) return std::nullopt;
    if (ec == http::error::body_limit) return http::status::payload_too_large;
    if (ec == http::error::header_limit || ec == http::error::buffer_overflow)
        return http::status::request_header_fields_too_large;
    return http::status::bad_request;
}

}  // namespace

ClientRequestReader::Progress ClientRequestReader::read(boost::beast::flat_buffer& input, TimePoint now) {
    if (!isPartial_) {
        isPartial_ = true;
        receivedAt_ = arrivals_.takeNextArrivalTime();
        readingStartedAt_ = now;
    }
    error_code ec;
    const std::size_t used = parser_->put(input.data(), ec);
    arrivals_.consume(used);
    input.consume(used);
    if (const auto rejectionStatus = findRejectionStatus(*parser_, ec)) {
        rejectionStatus_ = *rejectionStatus;
        return Progress::rejected;
    }
    heldBytes_ = parsedMessageBytes(*parser_);
    if (parser_->is_done()) return Progress::complete;
    // After a complete header, Beast returns need_more only if the input ends within a chunk header or the
    // trailer of a chunked body. If the input ends with the header, Beast returns no error.
    expectsContinue_ = ec == http::error::need_more && parser_->is_header_done() &&
                       boost::beast::iequals(parser_->get()[http::field::expect], "100-continue");
    return Progress::incomplete;
}

HttpRequest ClientRequestReader::takeRequest() {
    HttpRequest message = parser_->release();
    reset();
    return message;
}

void ClientRequestReader::reset() {
    parser_.emplace();
    parser_->body_limit(kMaxBodyBytes);
    parser_->header_limit(kMaxHeaderBytes);
    parser_->eager(true);
    heldBytes_ = 0;
    isPartial_ = false;
    expectsContinue_ = false;
}

}  // namespace gateway::net
