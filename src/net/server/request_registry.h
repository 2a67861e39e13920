// The requests in flight, with the client that waits for each request and its attempts.
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

// Maps requests to clients and attempts to requests. Holds the sessions of the clients, but makes no calls to
// them.
//
// A request stays registered until its client has stopped waiting and none of its attempts is in flight.
// Until then, no other request can use its id.
class RequestRegistry {
public:
    // The data that is needed to send an attempt.
    struct AddedAttempt {
        AttemptId id = AttemptId::none;
        std::shared_ptr<const ForwardedRequest> forwarded;
        std::shared_ptr<ClientSession> client;  // null if no client waits for the response
    };

    // The data that is needed to process the result of an attempt.
    struct EndedAttempt {
        RequestId request;
        EndpointId endpoint;
        int number = 0;  // position among the attempts of the request, from 0
        bool isClientWaiting = false;
    };

    // Registers a request and the client that waits for its response, which must not be null. Returns false,
    // and changes nothing, if a request with this id is already registered.
    bool add(const RequestId& id, std::shared_ptr<const ForwardedRequest> forwarded,
             std::shared_ptr<ClientSession> client);

    // Returns the client that waits for the response. Returns null if the request is not registered, was
    // answered, or its client has disconnected.
    std::shared_ptr<ClientSession> client(const RequestId& id) const;

    // Records that the client has stopped waiting, and returns what client() returned before. The request
    // stays registered: call removeIfComplete() after using the client.
    std::shared_ptr<ClientSession> releaseClient(const RequestId& id);

    // Registers the next attempt of a request. Returns nothing if the request is not registered.
    std::optional<AddedAttempt> addAttempt(const RequestId& id, const EndpointId& endpoint);

    // Records that an attempt has ended. Returns nothing if the attempt is not in flight. The request stays
    // registered: call removeIfComplete() after processing the result.
    std::optional<EndedAttempt> recordAttemptEnded(AttemptId id);

    // Returns the request of an attempt in flight. Returns nothing for any other attempt.
    std::optional<RequestId> requestOf(AttemptId id) const;

    // Returns the attempt with this number of a request. It may have ended. Returns AttemptId::none if there
    // is no such attempt.
    AttemptId attempt(const RequestId& id, int number) const;

    // Returns the attempts of a request, including ended ones, in the order in which they started.
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
    std::uint64_t lastAttemptId_ = 0;                  // of all requests
};

}  // namespace gateway::net
