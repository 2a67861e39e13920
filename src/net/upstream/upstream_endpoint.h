// The state of one endpoint that discovery lists: its address, and whether it is draining.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <utility>

#include "net/discovery/endpoint_list.h"
#include "net/transport/clock.h"

namespace gateway::net {

// Shared by the endpoint table and the attempts on the endpoint, which may go on after discovery has removed
// it. A removed or replaced endpoint stays draining: if discovery lists its name again, the table creates a
// new object.
class UpstreamEndpoint {
public:
    explicit UpstreamEndpoint(EndpointId id) : id_(std::move(id)) {}

    const EndpointId& id() const { return id_; }
    const boost::asio::ip::tcp::endpoint& address() const { return address_; }

    // Returns whether `listed` is another process: it started later, or its address differs.
    bool isReplacedBy(const ResolvedEndpoint& listed) const;

    // Copies the start time, and the address if `listed` has one. Does not change the draining state.
    void update(const ResolvedEndpoint& listed);

    void stopDraining() { drainingSince_ = kNotDraining; }

    // Has no effect if the endpoint is already draining.
    void startDraining(SteadyTimePoint now);

    // Records that another process has the endpoint's name or address by now.
    void markReplaced() { isReplaced_ = true; }

    bool isDraining() const { return isReplaced_ || drainingSince_ != kNotDraining; }

    // Returns whether sending an attempt may begin at `now`. A draining endpoint accepts attempts for
    // `drainGracePeriod` after it started draining, unless it was replaced.
    bool acceptsAttempts(SteadyTimePoint now, Duration drainGracePeriod) const;

    void recordResponse(SteadyTimePoint now) { lastResponseAt_ = now; }

    // When the latest complete response was received; the clock's epoch if none was.
    SteadyTimePoint lastResponseAt() const { return lastResponseAt_; }

private:
    static constexpr SteadyTimePoint kNotDraining = SteadyTimePoint::max();

    EndpointId id_;
    boost::asio::ip::tcp::endpoint address_;
    TimePoint startedAt_{};
    SteadyTimePoint drainingSince_ = kNotDraining;
    bool isReplaced_ = false;
    SteadyTimePoint lastResponseAt_{};
};

}  // namespace gateway::net
