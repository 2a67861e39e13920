// Interprets an endpoint's HTTP response as the result of an attempt.
#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "net/upstream/attempt.h"

namespace gateway::net {

using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

// Takes the body out of a final response, one with a status of 200 or more. Figures in headers that can't be
// read whole count as not reported: one NaN would stay in the module's means for good.
AttemptResult readAttemptResult(HttpResponse& message);

}  // namespace gateway::net
