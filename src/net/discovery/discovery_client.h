// A client of discovery that keeps the endpoint list up to date.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <vector>

#include "net/discovery/discovery_schedule.h"
#include "net/discovery/endpoint_list.h"
#include "net/discovery/watch_stream.h"
#include "net/transport/clock.h"
#include "net/transport/timer_queue.h"

namespace gateway::net {

// Calls discovery at the times of a DiscoverySchedule, watches the endpoint list, and passes every snapshot
// and change to the UpdateHandler in order.
//
// While a call is unanswered, one newer call can be made. The older call stays open, since a list that takes
// long to start would never be received if every call were closed by the next one. The call that is answered
// first becomes the watch, and the other call is closed. So updates come from one connection at a time, and
// an older change never follows a newer one.
class DiscoveryClient final : private WatchStreamObserver {
public:
    using UpdateHandler = std::function<void(const EndpointList&)>;

    struct Options {
        tcp::endpoint address;
        ZoneAndKindNames zoneAndKindNames;
        std::uint64_t knownVersion = 0;  // the version of the list that is known at the start
        DiscoverySchedule schedule;
        ReclaimDescriptor reclaimDescriptor;  // called when the process has no free descriptor
    };

    // `ioContext`, `timers` and `clock` must outlive the client.
    DiscoveryClient(boost::asio::io_context& ioContext, TimerQueue& timers, const Clock& clock,
                    Options options, UpdateHandler onUpdate);

    // Makes the first call.
    void start() { call(); }

    // Closes all connections. The UpdateHandler is not called after this.
    void stop();

    // Closes all connections and calls discovery at another address. Requests a snapshot there, because
    // the versions of two discovery services are not comparable.
    void changeAddress(const tcp::endpoint& address);

private:
    using StreamPtr = std::shared_ptr<WatchStream>;

    std::uint64_t knownVersion() const override { return options_.knownVersion; }
    const tcp::endpoint& address() const override { return options_.address; }
    void onRequestSent(const WatchStream& stream) override;
    void onBodyStarted(const WatchStream& stream) override;
    void onWatchRequestSent(const WatchStream& stream) override;
    void onSilent(const WatchStream& stream, bool isListIncomplete) override;
    void onEnded(const WatchStream& stream) override;
    void onSnapshot(std::string_view document) override;
    void onChanges(std::string_view document) override;

    void call();
    void scheduleCall(Duration delay);
    void closeAll();
    bool isNewestPending(const WatchStream& stream) const;
    EndpointList parse(std::string_view document) const;
    void applyUpdate(const EndpointList& list);

    boost::asio::io_context& ioContext_;
    TimerQueue& timers_;
    const Clock& clock_;
    Options options_;
    UpdateHandler onUpdate_;
    StreamPtr watch_;  // the stream that receives the list; null if there is none
    // The streams without an answer, and those that fell silent within a list: at most two, the oldest first.
    std::vector<StreamPtr> pending_;
    bool isStopped_ = false;
    bool needsSnapshot_ = false;  // no version of the list at this address is known
    TimerQueue::Token nextCall_ = 0;
};

}  // namespace gateway::net
