// Keeps a watch on the list of endpoints and hands on what it brings, in order.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <vector>

#include "net/discovery/endpoint_list.h"
#include "net/discovery/poll_schedule.h"
#include "net/discovery/watch_stream.h"
#include "net/transport/clock.h"
#include "net/transport/timer_queue.h"

namespace gateway::net {

// A call that is not answered yet stays open while one newer call is made beside it: thrown away, a list that
// takes long to come would be begun again for ever. The one answered first is the watch, and the other ends;
// so one connection at a time tells, and no older change comes behind a newer one.
class DiscoveryClient final : private WatchStream::Owner {
public:
    using UpdateHandler = std::function<void(const EndpointList&)>;

    struct Options {
        tcp::endpoint address;
        EndpointWords words;
        std::uint64_t knownVersion =
            0;  // of the list known before; the first answer brings what changed after
        PollSchedule schedule;
        ReclaimDescriptor reclaimDescriptor;  // where the process has no descriptor left
    };

    // `io`, `timers` and `clock` must outlive the client.
    DiscoveryClient(boost::asio::io_context& io, TimerQueue& timers, const Clock& clock, Options options,
                    UpdateHandler onUpdate);

    void start() { call(); }
    void stop();

    // Goes over to discovery at another address. Its versions may be others: it is asked for a snapshot.
    void moveTo(const tcp::endpoint& address);

private:
    using StreamPtr = std::shared_ptr<WatchStream>;

    std::uint64_t knownVersion() const override { return options_.knownVersion; }
    const tcp::endpoint& address() const override { return options_.address; }
    void onRequested(const WatchStream& stream) override;
    void onAnswering(const WatchStream& stream) override;
    void onRequestedAgain(const WatchStream& stream) override;
    void onSilent(const WatchStream& stream, bool amidList) override;
    void onEnded(const WatchStream& stream) override;
    void onSnapshot(std::string_view text) override;
    void onDelta(std::string_view text) override;

    void call();
    void callIn(Duration wait);
    void closeAll();
    bool isNewest(const WatchStream& stream) const;
    EndpointList parse(std::string_view text) const;
    void accept(const EndpointList& list);

    boost::asio::io_context& io_;
    TimerQueue& timers_;
    const Clock& clock_;
    Options options_;
    UpdateHandler onUpdate_;
    StreamPtr watch_;                 // being answered
    std::vector<StreamPtr> pending_;  // not answered yet, or no more: two at most, the newest at the back
    bool stopped_ = false;
    bool needsSnapshot_ = false;  // no version of this discovery's is known
    TimerQueue::Token nextCall_ = 0;
};

}  // namespace gateway::net
