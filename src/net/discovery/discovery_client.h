// Keeps the endpoint list up to date.
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

// Calls discovery by the PollSchedule, watches its list, and hands on every snapshot and change in
// order.
//
// A call that is not answered yet stays open while one newer call is made beside it: if it were closed, a
// list that takes long to start would never be received. The call that is answered first becomes the watch
// and the other one is closed. So updates come from one connection at a time, and no older change follows a
// newer one.
class DiscoveryClient final : private WatchStreamObserver {
public:
    using UpdateHandler = std::function<void(const EndpointList&)>;

    struct Options {
        tcp::endpoint address;
        EndpointVocabulary vocabulary;
        std::uint64_t knownVersion = 0;  // of the list that is known at the start
        PollSchedule schedule;
        ReclaimDescriptor reclaimDescriptor;  // called when the process has no free descriptor
    };

    // `ioContext`, `timers` and `clock` must outlive the client.
    DiscoveryClient(boost::asio::io_context& ioContext, TimerQueue& timers, const Clock& clock,
                    Options options, UpdateHandler onUpdate);

    // Makes the first call, at once.
    void start() { call(); }

    // Closes all connections. No update is handed on after this.
    void stop();

    // Moves to discovery at another address, and requests a snapshot there: its versions may be different.
    void moveTo(const tcp::endpoint& address);

private:
    using StreamPtr = std::shared_ptr<WatchStream>;

    std::uint64_t knownVersion() const override { return options_.knownVersion; }
    const tcp::endpoint& address() const override { return options_.address; }
    void onRequestSent(const WatchStream& stream) override;
    void onListStarted(const WatchStream& stream) override;
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
    StreamPtr watch_;                 // the stream that sends the list; null if there is none
    std::vector<StreamPtr> pending_;  // without an answer, or silent within a list: two at most, in order
    bool isStopped_ = false;
    bool needsSnapshot_ = false;  // no version of this discovery's list is known
    TimerQueue::Token nextCall_ = 0;
};

}  // namespace gateway::net
