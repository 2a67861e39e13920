// Keeps a watch on the list of workers and hands on what it brings, in order.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <vector>

#include "net/call_schedule.h"
#include "net/channel.h"
#include "net/targets.h"

namespace weldstall {

class WatchConnection;

// A call that is not answered yet stays open while one newer call is made beside it: thrown away, a list that
// takes long to come would be begun again for ever. The one answered first is the watch, and the other ends;
// so one connection at a time tells, and no older change comes behind a newer one.
class DiscoveryWatch {
public:
    using Told = std::function<void(const TargetList&)>;

    // `since`: the version of the list known before; the first answer brings what changed after it.
    DiscoveryWatch(boost::asio::io_context& io, TimerQueue& timers, const Clock& clock,
                   const tcp::endpoint& address, TargetNames names, std::uint64_t since,
                   const CallSchedule& schedule, MakeRoom makeRoom, Told told);
    ~DiscoveryWatch();
    void start() { call(); }
    void stop();
    // Goes over to discovery at another address. Its versions may be others: it is asked for the whole list.
    void move(const tcp::endpoint& address);

private:
    friend class WatchConnection;
    using Link = std::shared_ptr<WatchConnection>;

    void call();
    void callIn(Duration wait);
    void closeAll();
    bool isNewest(const WatchConnection& link) const;
    // What becomes of a connection.
    void opened(const WatchConnection& link);
    void answers(const WatchConnection& link);
    void asksAgain(const WatchConnection& link);
    void fellSilent(const WatchConnection& link, bool amidList);
    void over(const WatchConnection& link);

    void whole(std::string_view text);
    void take(std::string_view text, bool whole);

    boost::asio::io_context& io_;
    TimerQueue& timers_;
    const Clock& clock_;
    tcp::endpoint address_;
    TargetNames names_;
    std::uint64_t since_;
    CallSchedule schedule_;
    MakeRoom makeRoom_;
    Told told_;
    Link watch_;                 // being answered
    std::vector<Link> waiting_;  // not answered yet, or no more: two at most, the newest at the back
    bool stopped_ = false;
    bool needsWhole_ = false;  // no version of this discovery's is known
    TimerQueue::Token next_ = 0;
};

}  // namespace weldstall
