// Converts an endpoint's HTTP response to the result of an attempt. The names of the response headers are
// used only here.
#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "net/upstream/attempt.h"

namespace gateway::net {

using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

// Converts a complete, final response, and moves its body into the result. Precondition: the status is 200 or
// more. Does not set AttemptResult::elapsed. A number in a header that is malformed, not finite or out of
// range is treated as not reported; a NaN would make the averages of the decision module NaN for good.
AttemptResult readAttemptResult(HttpResponse& message);

}  // namespace gateway::net
