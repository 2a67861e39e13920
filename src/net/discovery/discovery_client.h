// Keeps a watch on the list of endpoints and hands on what it brings, in order.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <vector>

#include "net/discovery/endpoint_list.h"
#include "net/discovery/poll_schedule.h"
#include "net/transport/tcp_connection.h"

namespace gateway::net {

class WatchStream;

// A call that is not answered yet stays open while one newer call is made beside it: thrown away, a list that
// takes long to come would be begun again for ever. The one answered first is the watch, and the other ends;
// so one connection at a time tells, and no older change comes behind a newer one.
class DiscoveryClient {
public:
    using UpdateHandler = std::function<void(const EndpointList&)>;

    // `since`: the version of the list known before; the first answer brings what changed after it.
    DiscoveryClient(boost::asio::io_context& io, TimerQueue& timers, const Clock& clock,
                    const tcp::endpoint& address, EndpointNames names, std::uint64_t since,
                    const PollSchedule& schedule, ReclaimDescriptor reclaimDescriptor, UpdateHandler told);
    ~DiscoveryClient();
    void start() { call(); }
    void stop();
    // Goes over to discovery at another address. Its versions may be others: it is asked for the whole list.
    void move(const tcp::endpoint& address);

private:
    friend class WatchStream;
    using ConnectionPtr = std::shared_ptr<WatchStream>;

    void call();
    void callIn(Duration wait);
    void closeAll();
    bool isNewest(const WatchStream& link) const;
    // What becomes of a connection.
    void opened(const WatchStream& link);
    void answers(const WatchStream& link);
    void asksAgain(const WatchStream& link);
    void fellSilent(const WatchStream& link, bool amidList);
    void over(const WatchStream& link);

    void whole(std::string_view text);
    void take(std::string_view text, bool whole);

    boost::asio::io_context& io_;
    TimerQueue& timers_;
    const Clock& clock_;
    tcp::endpoint address_;
    EndpointNames names_;
    std::uint64_t since_;
    PollSchedule schedule_;
    ReclaimDescriptor reclaimDescriptor_;
    UpdateHandler onUpdate_;
    ConnectionPtr watch_;                 // being answered
    std::vector<ConnectionPtr> waiting_;  // not answered yet, or no more: two at most, the newest at the back
    bool stopped_ = false;
    bool needsWhole_ = false;  // no version of this discovery's is known
    TimerQueue::Token next_ = 0;
};

}  // namespace gateway::net
