#include "support/failing_discovery.h"

#include <gtest/gtest.h>

#include "support/gateway_options.h"
#include "support/http_messages.h"

namespace gateway::net::test {
namespace {

constexpr int kBacklogOfOneConnection = 0;  // the kernel queues one connection more than this

int backlogFor(CallFailure failure) {
    if (failure == CallFailure::refused) return Server::kRefusing;
    if (failure == CallFailure::notConnected) return kBacklogOfOneConnection;
    return Server::kDefaultBacklog;
}

}  // namespace

std::string nameOf(CallFailure failure) {
    switch (failure) {
        case CallFailure::closed:
            return "closed";
        case CallFailure::unavailable:
            return "unavailable";
        case CallFailure::truncated:
            return "truncated";
        case CallFailure::unanswered:
            return "unanswered";
        case CallFailure::refused:
            return "refused";
        case CallFailure::notConnected:
            return "notConnected";
    }
    return "unknown";
}

std::ostream& operator<<(std::ostream& out, CallFailure failure) {
    return out << nameOf(failure);
}

FailingDiscovery::FailingDiscovery(CallFailure failure) : failure_(failure), server_(backlogFor(failure)) {
    if (failure == CallFailure::notConnected) queued_ = connectTo(server_.port());
}

bool FailingDiscovery::acceptsConnections() const {
    return failure_ != CallFailure::refused && failure_ != CallFailure::notConnected;
}

void FailingDiscovery::failCall(const std::string& path) {
    if (failure_ == CallFailure::refused) {
        constexpr std::chrono::seconds kFirstCallWait{2};  // enough for the gateway to make its first call
        pause(kFirstCallWait);
        server_.listen();
        return;
    }
    if (failure_ == CallFailure::notConnected) {
        server_.accept();
        return;
    }
    failedCall_ = server_.accept();
    EXPECT_TRUE(contains(failedCall_.receiveMessage(), path)) << failure_;
    if (failure_ == CallFailure::unavailable) failedCall_.write(kUnavailableResponse);
    if (failure_ == CallFailure::truncated) {
        constexpr std::size_t kTruncatedSize = 20;
        failedCall_.write(kChunkedHead + chunk(snapshotDocument(77, {}).substr(0, kTruncatedSize)));
    }
    if (failure_ != CallFailure::unanswered) failedCall_.close();
}

Socket FailingDiscovery::acceptOpenCall(const std::string& path) const {
    for (;;) {
        Socket call = server_.accept();
        const auto request = call.receiveMessageOrEnd();
        if (!request || call.waitReadable(0)) continue;  // the gateway has closed it
        EXPECT_TRUE(contains(*request, path)) << failure_;
        return call;
    }
}

}  // namespace gateway::net::test
