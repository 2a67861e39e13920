// The requests in flight: which client waits for each one, and which attempts belong to it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "gateway/types.h"
#include "net/upstream/attempt.h"

namespace gateway::net {

class ClientSession;

// Maps requests to clients and attempts to requests. Makes no calls to a client: it only holds the session.
//
// A request stays registered until its client has stopped waiting and none of its attempts is in flight. Its
// id can't be used by another request until then.
class RequestRegistry {
public:
    // What starting an attempt takes.
    struct StartedAttempt {
        AttemptId id = AttemptId::none;
        std::shared_ptr<const ForwardedRequest> forwarded;
        std::shared_ptr<ClientSession> client;  // null if no client waits for the response
    };

    // What is known of an attempt at its end.
    struct EndedAttempt {
        RequestId request;
        EndpointId endpoint;
        int number = 0;  // position among the attempts of the request, from 0
        bool isClientWaiting = false;
    };

    // Registers a request with the client that waits for its response. `client` must not be null. Returns
    // false, and changes nothing, if a request with this id is registered.
    bool add(const RequestId& id, std::shared_ptr<const ForwardedRequest> forwarded,
             std::shared_ptr<ClientSession> client);

    // Returns the client that waits for the response. Null if the request is not registered, was answered, or
    // its client has disconnected.
    std::shared_ptr<ClientSession> client(const RequestId& id) const;

    // Records that the client has stopped waiting and returns that client, or null as client() does. The
    // request stays registered: call removeIfComplete() once the client has been served.
    std::shared_ptr<ClientSession> releaseClient(const RequestId& id);

    // Starts the next attempt of a request. Returns nothing if the request is not registered.
    std::optional<StartedAttempt> startAttempt(const RequestId& id, const EndpointId& endpoint);

    // Ends an attempt. Returns nothing if the attempt is not in flight. The request stays registered: call
    // removeIfComplete() once the result has been used.
    std::optional<EndedAttempt> endAttempt(AttemptId id);

    // Returns the request that an attempt in flight belongs to. Returns nothing for any other attempt.
    std::optional<RequestId> requestOf(AttemptId id) const;

    // Returns the attempt of a request with this number, which may have ended. Returns AttemptId::none if
    // there is none.
    AttemptId attempt(const RequestId& id, int number) const;

    // Returns the attempts of a request in the order of their start, those that have ended included.
    std::vector<AttemptId> attempts(const RequestId& id) const;

    // Removes the request if its client has stopped waiting and no attempt is in flight.
    void removeIfComplete(const RequestId& id);

private:
    struct Attempt {
        RequestId request;
        EndpointId endpoint;
        int number = 0;
    };
    struct Request {
        std::shared_ptr<const ForwardedRequest> forwarded;
        std::shared_ptr<ClientSession> client;  // null once the client has stopped waiting
        std::vector<AttemptId> attempts;
        std::size_t attemptsInFlight = 0;
    };

    std::unordered_map<RequestId, Request> requests_;
    std::unordered_map<AttemptId, Attempt> attempts_;  // in flight
    std::uint64_t lastAttemptNumber_ = 0;              // over all requests
};

}  // namespace gateway::net
