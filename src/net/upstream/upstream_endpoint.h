// One endpoint as discovery lists it: its address, and whether it is draining.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <utility>

#include "net/discovery/endpoint_list.h"
#include "net/transport/clock.h"

namespace gateway::net {

// Shared by the endpoint table and the attempts on the endpoint, which may outlast its listing. An endpoint
// that was removed stays draining for good: one that is listed again under its name is a new object.
class UpstreamEndpoint {
public:
    explicit UpstreamEndpoint(EndpointId id) : id_(std::move(id)) {}

    const EndpointId& id() const { return id_; }
    const boost::asio::ip::tcp::endpoint& address() const { return address_; }

    // Whether discovery lists another process than before: one that was restarted or has another address.
    bool isReplacedBy(const ResolvedEndpoint& listed) const;

    // Takes over the start time, and the address if `listed` has one. Does not change whether it is draining.
    void update(const ResolvedEndpoint& listed);

    void stopDraining() { drainingSince_ = kNotDraining; }

    // Has no effect on an endpoint that is draining.
    void startDraining(SteadyTimePoint now);

    bool isDraining() const { return drainingSince_ != kNotDraining; }

    // Whether an attempt may be sent at `now`. A draining endpoint is sent attempts for `drainGracePeriod`
    // only, counted up to an attempt's first byte.
    bool acceptsAttempts(SteadyTimePoint now, Duration drainGracePeriod) const;

    void noteResponse(SteadyTimePoint now) { lastResponseAt_ = now; }

    // When the latest complete response came; the clock's epoch if none has.
    SteadyTimePoint lastResponseAt() const { return lastResponseAt_; }

private:
    static constexpr SteadyTimePoint kNotDraining = SteadyTimePoint::max();

    EndpointId id_;
    boost::asio::ip::tcp::endpoint address_;
    TimePoint startedAt_{};
    SteadyTimePoint drainingSince_ = kNotDraining;
    SteadyTimePoint lastResponseAt_{};
};

}  // namespace gateway::net
