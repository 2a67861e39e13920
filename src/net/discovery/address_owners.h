// Finds endpoints whose address belongs to another process by now.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <map>
#include <vector>

#include "net/discovery/endpoint_list.h"

namespace gateway::net {

// Discovery may list a process for some seconds after it has gone, while a new process under another name has
// its address already. An attempt on the old endpoint would then reach the new process.
class AddressOwners {
public:
    // Updates the owners by a list. Changes entries of the list, and appends entries to it, so that an
    // endpoint whose address belongs to a process that started later is removed.
    void removeReplaced(EndpointList& list);

private:
    struct Owner {
        EndpointId id;
        TimePoint startedAt{};
    };

    using Replaced = std::vector<EndpointId>;

    void forget(const EndpointId& id);
    // Records the owner of the endpoint's address, and appends the id of the one that it shows to be
    // replaced.
    void recordOwner(const ResolvedEndpoint& listed, Replaced& replaced);

    std::map<boost::asio::ip::tcp::endpoint, Owner> owners_;
};

}  // namespace gateway::net
