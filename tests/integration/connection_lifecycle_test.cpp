// What the standing test names and no other file here forces: requests sent ahead, connections that come up
// late, windows for repeats, answers without a length, floods.
#include <gtest/gtest.h>

#include "support/gateway_process.h"

namespace gateway::net::test {
namespace {

Json patient() {
    Json s = settings();
    for (Json& c : s["classes"]) c["aimS"] = c["deadlineS"] = 400;  // waits are shares of the aim
    return s;
}

std::string ofFree(std::string text) {  // a plan without a quota
    return text.replace(text.find("team"), 4, "free");
}

long toldMs(const std::string& got) {
    return std::stol(got.substr(got.find("Request-Timeout-Ms: ") + 20));
}

int readiness(Socket& client) {
    client.write("GET /-/ready HTTP/1.1\r\n\r\n");
    return statusOf(client.message());
}

// ---- Requests sent ahead -------------------------------------------------------------------------------

TEST(Pipelining, TheTimeOfARequestCountsFromWhenItCameNotFromTheAnswerBeforeIt) {
    Server endpoint;
    GatewayProcess gateway(Targets{target("w", endpoint)}, patient());
    Socket client = gateway.client();
    client.write(request("load", "r1", 100'000) + request("load", "r2", 100'000));
    Socket link = endpoint.accept();
    EXPECT_TRUE(has(link.message(), "Request-Id: r1"));
    ::poll(nullptr, 0, 600);
    client.write(request("load", "r3", 100'000));
    Socket probe = gateway.client();
    EXPECT_EQ(readiness(probe), 200);  // r3 has been read by now
    ::poll(nullptr, 0, 600);
    for (const auto& [id, most] : {std::pair("r2", 98'800), std::pair("r3", 99'400)}) {
        link.write(ok("x"));
        EXPECT_EQ(statusOf(client.message()), 200);
        const std::string got = link.message();
        EXPECT_TRUE(has(got, std::string("Request-Id: ") + id)) << got;
        EXPECT_LE(toldMs(got), most) << got;
    }
}

// By then the read of more was begun, and what was sent ahead has been taken out of the buffer.
TEST(Pipelining, WhatFollowsRequestsPipelinedIsReadAsItCame) {
    Server endpoint;
    GatewayProcess gateway(Targets{target("w", endpoint)}, patient());
    Socket client = gateway.client();
    client.write(request("spend", "r1", 100'000, "x") + request("spend", "r2", 100'000, "x"));
    Socket link = endpoint.accept();
    for (const char* id : {"r1", "r2", "r3", "r4"}) {
        const std::string got = link.message();
        EXPECT_TRUE(has(got, std::string("Request-Id: ") + id + "\r\n")) << id << ": " << got;
        link.write(ok(id));
        EXPECT_EQ(bodyOf(client.message()), id);
        if (id[1] == '2') client.write(request("spend", "r3", 100'000, "x"));
        if (id[1] == '3') client.write(request("spend", "r4", 100'000, "x"));
    }
}

TEST(Pipelining, HundredsAtOnceAreAnsweredInOrder) {
    Server endpoint;
    GatewayProcess gateway(Targets{target("w", endpoint)}, patient());
    Socket client = gateway.client();
    std::string all;
    for (int i = 0; i < 200; ++i) all += ofFree(request("load", "r" + std::to_string(i), 100'000));
    client.write(all);
    Socket link = endpoint.accept();
    for (int i = 0; i < 200; ++i) {
        EXPECT_TRUE(has(link.message(), "Request-Id: r" + std::to_string(i) + "\r\n"));
        link.write(ok(std::to_string(i)));
        EXPECT_EQ(bodyOf(client.message()), std::to_string(i));
    }
    EXPECT_EQ(readiness(client), 200);
}

// More than is kept for one connection: what has been taken in is answered, and then it ends.
TEST(Pipelining, OfMoreThanIsKeptWhatWasTakenInIsAnswered) {
    Server endpoint;
    GatewayProcess gateway(Targets{target("w", endpoint)}, patient());
    Socket client = gateway.client();
    // Far more than the kernel holds: once it is written the gateway has read past what it keeps.
    for (int i = 0; i < 1000; ++i)
        client.write(request("spend", "r" + std::to_string(i), 100'000, std::string(30'000, 'x')));
    Socket link = endpoint.accept();
    EXPECT_TRUE(has(link.message(), "Request-Id: r0\r\n"));
    int answered = 0;
    for (;; ++answered) {
        link.write(ok(std::to_string(answered)));
        const auto answer = client.readMessage();
        if (!answer) break;
        EXPECT_EQ(bodyOf(*answer), std::to_string(answered));
        pollfd either[2] = {{link.fd(), POLLIN, 0}, {client.fd(), POLLIN, 0}};
        ASSERT_GT(::poll(either, 2, kTestTimeoutMs), 0);
        if (either[0].revents == 0) {
            ++answered;
            break;
        }
        EXPECT_TRUE(has(link.message(), "Request-Id: r" + std::to_string(answered + 1) + "\r\n"));
    }
    EXPECT_GE(answered, 3);  // 96 KiB
    EXPECT_TRUE(client.atEnd());
}

TEST(Pipelining, WhatWasTakenInBeforeAShutdownIsAnsweredBeforeTheConnectionEnds) {
    Server endpoint;
    GatewayProcess gateway(Targets{target("w", endpoint)}, patient());
    Socket client = gateway.client(), probe = gateway.client();
    client.write(request("spend", "r0", 100'000, "x") + request("spend", "r1", 100'000, "x") +
                 request("spend", "r2", 100'000, "x"));
    Socket link = endpoint.accept();
    EXPECT_TRUE(has(link.message(), "Request-Id: r0\r\n"));
    gateway.terminate();
    while (readiness(probe) == 200)
        ;
    for (int i = 0; i < 3; ++i) {
        link.write(ok("x"));
        const std::string answer = client.message();
        EXPECT_EQ(statusOf(answer), 200);
        EXPECT_EQ(has(answer, "Connection: close"), i == 2) << i;
        if (i < 2) {
            EXPECT_TRUE(has(link.message(), "Request-Id: r" + std::to_string(i + 1) + "\r\n"));
        }
    }
    EXPECT_TRUE(client.atEnd());
    client.close();
    probe.close();
    EXPECT_EQ(gateway.wait(), 0);
}

// Much that can't be read, and then a close or a reset: others are served on.
TEST(Pipelining, AFloodOfNoiseThatGoesCostsNobodyElse) {
    Server endpoint;
    GatewayProcess gateway(Targets{target("w", endpoint)}, patient());
    const std::string noise(2'000'000, '\n');
    for (int i = 0; i < 6; ++i) {
        Socket bad = gateway.client();
        try {
            bad.write(i % 2 == 0 ? "nonsense\r\n\r\n" + noise : std::string(100'000, 'x'));
        } catch (const std::runtime_error&) {  // ended on it
        }
        i < 3 ? bad.close() : bad.reset();
    }
    Socket client = gateway.client();
    client.write(request("load", "r", 100'000));
    Socket link = endpoint.accept();
    link.message();
    link.write(ok("served"));
    EXPECT_EQ(bodyOf(client.message()), "served");
    EXPECT_FALSE(endpoint.waitReadable(0));
}

// ---- Bytes that come as a connection is shut or closed --------------------------------------------------

// Found together with SIGTERM, a request on a resting connection is answered; what comes behind the end of
// sending is not sent on, whether that end followed an answer or a rest.
TEST(BytesAtShutdown, ARequestThatComesWithTheSignalIsAnsweredAndOneBehindTheEndIsNotSentOn) {
    Server endpoint;
    GatewayProcess gateway(Targets{target("w", endpoint)}, patient(), [](Json& c) {
        c["stillListenMs"] = 3600'000;
        c["idleStaysMs"] = 1;
    });
    Socket used = gateway.client(), resting = gateway.client();
    EXPECT_EQ(readiness(used), 200);
    EXPECT_EQ(readiness(resting), 200);
    gateway.whileStopped([&] {
        used.write(request("spend", "with", 100'000, "x"));
        gateway.terminate();
    });
    Socket link = endpoint.accept();
    EXPECT_TRUE(has(link.message(), "Request-Id: with\r\n"));
    EXPECT_TRUE(resting.atEnd());
    link.write(ok("served"));
    const std::string answer = used.message();
    EXPECT_EQ(statusOf(answer), 200);
    EXPECT_TRUE(has(answer, "Connection: close"));
    EXPECT_TRUE(used.atEnd());
    for (Socket* late : {&used, &resting}) {
        try {
            late->write(request("spend", "late", 100'000, "x"));
        } catch (const std::runtime_error&) {  // it was closed, not only shut
        }
    }
    Socket other = gateway.client();
    other.write(request("spend", "other", 100'000, "x"));
    EXPECT_TRUE(has(link.message(), "Request-Id: other\r\n"));
    link.write(ok("served"));
    EXPECT_EQ(statusOf(other.message()), 200);
    EXPECT_FALSE(endpoint.waitReadable(0));
}

// A last answer is not overtaken by a reset, however much comes that nobody reads any more.
TEST(BytesAtShutdown, ALastAnswerArrivesWholeThoughItsClientSendsOn) {
    Server endpoint;
    GatewayProcess gateway(Targets{target("w", endpoint)}, patient());
    Socket client = gateway.client();
    std::string last = request("spend", "r", 100'000, "x");
    last.insert(last.find("\r\n") + 2, "Connection: close\r\n");
    client.write(last);
    Socket link = endpoint.accept();
    link.message();
    const std::string body(60'000, 'b');
    gateway.whileStopped([&] {
        link.write(ok(body));
        client.write(std::string(50'000, 'x'));
    });
    EXPECT_TRUE(bodyOf(client.message()) == body);
}

// Half a line, or more than one answer, comes from an endpoint as its connection is given up.
TEST(BytesAtShutdown, WhatAEndpointSaysAsItsConnectionIsClosedIsNobodysAnswer) {
    for (const std::string& said : {std::string("HTTP/1.1 200 O"), ok("late")}) {
        Server endpoint;
        GatewayProcess gateway(Targets{target("w", endpoint)}, patient());
        Socket client = gateway.client();
        client.write(request("spend", "gone", 100'000, "x"));
        Socket link = endpoint.accept();
        link.message();
        gateway.whileStopped([&] {
            client.close();
            link.write(said);
        });
        while (link.readSome()) {
        }
        Socket other = gateway.client();
        other.write(request("spend", "other", 100'000, "x"));
        Socket next = endpoint.accept();
        EXPECT_TRUE(has(next.message(), "Request-Id: other\r\n"));
        next.write(ok("its own"));
        EXPECT_EQ(bodyOf(other.message()), "its own");
    }
}

// ---- Connections that come up late, and windows for repeats ---------------------------------------------

// One attempt at `a` that fails, and a further one whose connection comes up late.
struct Late {
    explicit Late(Json s)
        : gateway(Targets{target("a", a)}, std::move(s)), watch(gateway.discovery.accept()) {
        watch.message();
    }
    // Sends `text` and ends its first attempt with `failing`; false where no further one is connected for.
    template <class Failing>
    bool begin(const std::string& text, Failing&& failing) {
        client.write(text);
        Socket link = a.accept();
        EXPECT_TRUE(has(link.message(), "Request-Id: r\r\n"));
        watch.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                    listLine(42, true, {target("full", full)}));
        watch.close();
        watch = gateway.discovery.accept();  // the list is in force by then
        failing(link);
        pollfd end{client.fd(), POLLIN, 0};
        Socket probe = gateway.client();
        readiness(probe);
        return ::poll(&end, 1, 0) == 0;
    }
    // The connection comes up, as the kernel tries again after about 1 s and 3 s.
    Socket comesUp() {
        full.accept();
        return full.accept();
    }

    Server a, full{0};  // full's queue takes one connection; the next comes up once that is accepted
    Socket plug = connectTo(full.port);
    GatewayProcess gateway;
    Socket watch;
    Socket client = gateway.client();
};

TEST(LateConnections, AFurtherAttemptTellsWhatIsLeftWhenItIsWritten) {
    Late late(patient());
    ASSERT_TRUE(late.begin(request("spend", "r", 100'000, "x"), [](Socket& link) {
        link.write("HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n");
    }));
    ::poll(nullptr, 0, 500);
    Socket link = late.comesUp();
    EXPECT_LE(toldMs(link.message()), 99'500);
    link.write(ok("served"));
    EXPECT_EQ(statusOf(late.client.message()), 200);
}

// Where the machine was so slow that the window was over before the further attempt, it is made longer.
TEST(LateConnections, AWithKeyOneWhoseConnectionComesUpAfterTheWindowIsNotWritten) {
    for (const char* deduplicationScope : {"all", "zone", "cell"}) {
        for (double window = 1;; window *= 3) {
            ASSERT_LT(window, 30);
            Json s = patient();
            s["classes"][1]["windowS"] = window;
            s["classes"][1]["group"] = deduplicationScope;
            Late late(s);
            if (!late.begin(request("change", "r", 100'000, "x"), [](Socket& link) { link.reset(); }))
                continue;
            ::poll(nullptr, 0, static_cast<int>(window * 1000));
            Socket link = late.comesUp();
            EXPECT_TRUE(link.atEnd()) << deduplicationScope;
            const int status =
                statusOf(late.client.message());  // it may have run, and repeats would run again
            EXPECT_TRUE(status != 200 && status != 429 && status != 503)
                << deduplicationScope << ' ' << status;
            break;
        }
    }
}

TEST(LateConnections, AWithKeyOneWhoseConnectionComesUpWithinTheWindowIsWritten) {
    Json s = patient();
    s["classes"][1]["windowS"] = 400;
    Late late(s);
    ASSERT_TRUE(late.begin(request("change", "r", 100'000, "x"), [](Socket& link) { link.reset(); }));
    Socket link = late.comesUp();
    EXPECT_TRUE(has(link.message(), "Idempotency-Key: k-r\r\n"));
    link.write(ok("served"));
    EXPECT_EQ(statusOf(late.client.message()), 200);
}

// Whichever is chosen first, the connection that does not come up costs its time limit and no request.
TEST(LateConnections, OneThatNeverComesUpIsGivenUpAndAnotherIsTried) {
    Server full(0), endpoint;
    Socket plug = connectTo(full.port);
    Json s = patient();
    s["allowed"]["dialTimeoutS"] = 0.2;
    GatewayProcess gateway(Targets{target("full", full), target("w", endpoint)}, s);
    Socket link;
    for (int i = 0; i < 4; ++i) {
        Socket client = gateway.client();
        client.write(ofFree(request("spend", "r" + std::to_string(i), 100'000, "x")));
        if (i == 0) link = endpoint.accept();
        EXPECT_TRUE(has(link.message(), "Request-Id: r" + std::to_string(i)));
        link.write(ok("served"));
        EXPECT_EQ(statusOf(client.message()), 200);
    }
}

// ---- Answers -------------------------------------------------------------------------------------------

// A reset is no end of an answer without a length, nor of one in chunks.
TEST(SpoiltResponses, OneThatIsResetOnTheWayIsNotServed) {
    for (const char* begun :
         {"HTTP/1.1 200 OK\r\n\r\nhalf", "HTTP/1.0 200 OK\r\nContent-Type: text/plain\r\n\r\n",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
          "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"}) {
        Server endpoint;
        GatewayProcess gateway(Targets{target("w", endpoint)}, patient());
        for (const char* cls : {"load", "spend"}) {
            Socket client = gateway.client();
            client.write(request(cls, "r", 100'000));
            Socket link = endpoint.accept();
            link.message();
            gateway.whileStopped([&] {
                link.write(begun);
                link.reset();
            });
            if (std::string(cls) == "load") {
                Socket again = endpoint.accept();
                again.message();
                again.write("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nwhole");
                EXPECT_EQ(bodyOf(client.message()), "whole") << begun;
            } else {
                EXPECT_EQ(statusOf(client.message()), 502) << begun;
            }
        }
    }
}

// Each byte comes by itself, none of them too late for the one before: it ends by its own time.
TEST(SpoiltResponses, OneThatNeverEndsLeavesTimeForAnother) {
    Server endpoint;
    GatewayProcess gateway(Targets{target("w", endpoint)}, patient());
    Socket client = gateway.client();
    client.write(request("load", "r", 100'000));
    Socket link = endpoint.accept();
    link.message();
    link.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    try {
        while (!link.waitReadable(10)) link.write("1\r\nx\r\n");
    } catch (const std::runtime_error&) {  // the gateway has closed it
    }
    Socket again = endpoint.accept();
    again.message();
    again.write(ok("whole"));
    EXPECT_EQ(bodyOf(client.message()), "whole");
}

}  // namespace
}  // namespace gateway::net::test
