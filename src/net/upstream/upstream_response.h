// Interprets an endpoint's HTTP response as the result of an attempt. The only place that knows the names of
// endpoints' response headers.
#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "net/upstream/attempt.h"

namespace gateway::net {

using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

// Reads a complete, final response and moves its body into the result. Precondition: the status is 200 or
// more. A header whose number is malformed, not finite or out of range counts as not reported, since a NaN
// would stay in the decision module's averages. Leaves AttemptResult::elapsed unset.
AttemptResult readAttemptResult(HttpResponse& message);

}  // namespace gateway::net
