// Checks clients' requests, and translates the protocol's words into the module's.
#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "gateway/events.h"
#include "gateway/settings.h"
#include "net/upstream/attempt.h"

namespace gateway::net {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;

// What requests are checked against.
struct RequestRules {
    std::vector<RequestClass> classes;
    std::vector<std::string> classNames;
    std::vector<std::string> planNames;
    int gatewayCount = 1;
    double maxRequestCost = 1;
};

// A request that may be served.
struct ClientRequest {
    RequestArrived arrival;  // its deadline counts from when the request came
    std::shared_ptr<const ForwardedRequest> forwarded;
};

// A request that is answered here, with this status.
struct RequestError {
    int status = 400;
    std::string_view field;  // the part of the request that is at fault
};

// Nothing goes to an endpoint that no client sent in this form: all that is odd is an error. `startedAt` is
// when the request began to come.
std::variant<ClientRequest, RequestError> parseClientRequest(const HttpRequest& message,
                                                             const RequestRules& rules, TimePoint startedAt);

// Where the body ends depends on who reads the head: it could hide another request.
bool hasAmbiguousLength(const HttpRequest& message);

}  // namespace gateway::net
