// Validates clients' requests and converts them to events of the decision engine.
#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/status.hpp>
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

// The settings that requests are validated against.
struct RequestRules {
    std::vector<RequestClass> classes;
    std::vector<std::string> classNames;  // in the order of `classes`
    std::vector<std::string> planNames;   // in the order of Settings::plans
    int gatewayCount = 1;
    double maxRequestCost = 1;
};

// A valid request.
struct ClientRequest {
    RequestArrived arrival;
    std::shared_ptr<ForwardedRequest> forwarded;
};

// The part of a request that is invalid.
enum class RequestField {
    target,
    method,
    requestClass,
    plan,
    requestId,
    tenant,
    timeout,
    metering,
    idempotencyKey,
    body,
};

// Why a request is invalid, and the status to answer it with.
struct RequestError {
    boost::beast::http::status status = boost::beast::http::status::bad_request;
    RequestField field = RequestField::target;
};

// Validates a request. Rejects a request whose target, method, body or a required header is invalid, so that
// it does not reach an endpoint. Ignores headers that it does not know. `receivedAt` is when the first byte
// of the request was received; the request's deadline is computed from it.
std::variant<ClientRequest, RequestError> parseClientRequest(HttpRequest message, const RequestRules& rules,
                                                             TimePoint receivedAt);

// Returns the longest time that a valid request of any class is given, from when its first byte was received.
Duration maxRequestTime(const RequestRules& rules);

// Returns whether two parsers of the header could disagree on where the body ends, so that the body could
// hide another request (request smuggling).
bool hasAmbiguousLength(const HttpRequest& message);

}  // namespace gateway::net
