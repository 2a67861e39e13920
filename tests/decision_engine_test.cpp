// Tests of the decision module alone: fixed seeds, a clock of their own, no bench.
#include "gateway/decision_engine.h"

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <stdexcept>

namespace gateway {
namespace {

using std::chrono::milliseconds;

Settings plainSettings() {
    Settings s;
    RequestClass c;
    c.latencyObjective = milliseconds(600);
    c.deadline = milliseconds(2500);
    s.classes = {c};
    QuotaPlan p;
    p.rate = 2;
    p.burst = 8;  // a window of 4 s with room for 8 units
    s.plans = {p};
    s.gatewayCount = 2;
    s.cancellationAllowed = s.retryAfterAllowed = true;
    s.maxAttempts = 4;
    s.maxRetryAfter = milliseconds(500);
    s.counterEnabled = true;
    s.counterTimeout = milliseconds(30);
    s.maxRequestCost = 2;
    s.responseSlack = milliseconds(16);
    s.drainGracePeriod = milliseconds(250);
    s.slowStartInitialShare = 0.25;
    s.slowStartDuration = milliseconds(16000);
    s.overloadMultiple = 2;
    s.overloadWindow = milliseconds(1000);
    return s;
}

// One gateway, a clock and a counter service that the test can stop.
class EngineFixture {
public:
    explicit EngineFixture(Settings s, int endpoints = 4) : settings(s), engine(std::move(s), 7) {
        EndpointUpdate list;
        list.kind = UpdateKind::cached;
        for (int i = 0; i < endpoints; ++i) list.entries.push_back(entry("w" + std::to_string(i), i / 2));
        feed(list);
    }

    static EndpointEntry entry(const std::string& id, int cell = 0) {
        EndpointEntry e;
        e.endpoint = EndpointId(id);
        e.cell = cell;
        return e;
    }

    // Hands over an event and keeps the actions; adds are answered at once while `counting`.
    void feed(const Event& event) {
        Actions out;
        engine.handle(now, event, out);
        for (const Action& action : out) {
            if (const auto* add = std::get_if<AddToCounter>(&action)) {
                ++adds;
                if (counting)
                    answers.push_back({add->name, Outcome::ok, counts[add->name] += add->amount, {}});
                else
                    held.push_back(*add);
            } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
                timers.emplace(now + timer->after, timer->timer);
            } else if (const auto* send = std::get_if<SendAttempt>(&action)) {
                sends.push_back(*send);
            } else if (const auto* refusal = std::get_if<RejectRequest>(&action)) {
                refusals.push_back(*refusal);
            } else if (const auto* failure = std::get_if<FailRequest>(&action)) {
                fails.push_back(*failure);
            } else {
                others.push_back(action);
            }
        }
        while (!answers.empty()) {
            const CounterReplied a = answers.front();
            answers.erase(answers.begin());
            feed(a);
        }
    }

    void advance(Duration by) {
        const Time until = now + by;
        while (!timers.empty() && timers.begin()->first <= until) {
            now = timers.begin()->first;
            const auto timer = timers.begin()->second;
            timers.erase(timers.begin());
            feed(TimerFired{timer});
        }
        now = until;
    }

    std::string request(double cost = 1, std::uint64_t tenant = 5, Duration patience = milliseconds(2500),
                        int entryPoints = 2) {
        RequestArrived r;
        r.request = RequestId("r" + std::to_string(++requests));
        r.tenant = TenantId{tenant};
        r.cost = cost;
        r.entryPoints = entryPoints;
        r.deadline = now + patience;
        feed(r);
        return r.request.value();
    }

    void end(const SendAttempt& send, int attempt, Outcome outcome, bool closed,
             std::optional<double> cost = {}) {
        AttemptEnded e;
        e.request = send.request;
        e.attempt = attempt;
        e.endpoint = send.endpoint;
        e.outcome = outcome;
        e.elapsed = milliseconds(50);
        e.closed = closed;
        e.trueCost = cost;
        feed(e);
    }

    void failHeldAdds(Outcome outcome) {
        const auto adds_ = std::exchange(held, {});
        for (const AddToCounter& add : adds_) feed(CounterReplied{add.name, outcome, 0, milliseconds(30)});
    }

    double counted() const {
        double sum = 0;
        for (const auto& [name, value] : counts) sum += value;
        return sum;
    }

    Settings settings;
    DecisionEngine engine;
    Time now = milliseconds(100'000);
    bool counting = true;
    int adds = 0, requests = 0;
    std::map<std::string, double> counts;
    std::vector<CounterReplied> answers;
    std::vector<AddToCounter> held;
    std::multimap<Time, TimerId> timers;
    std::vector<SendAttempt> sends;
    std::vector<RejectRequest> refusals;
    std::vector<FailRequest> fails;
    Actions others;
};

TEST(Settings, SenselessOnesAreRefusedWithTheFieldNamed) {
    Settings s = plainSettings();
    s.plans[0].rate = -1;
    ASSERT_TRUE(validate(s));
    EXPECT_EQ(validate(s)->field, "plans[0].rate");
    EXPECT_THROW(DecisionEngine(s, 1), std::invalid_argument);
    s = plainSettings();
    s.classes.clear();
    ASSERT_TRUE(validate(s));
    EXPECT_EQ(validate(s)->field, "classes");
}

TEST(Window, EachRequestIsAddedBeforeItIsSent) {
    EngineFixture rig(plainSettings());
    rig.counting = false;
    rig.request();
    EXPECT_GE(rig.held.size(), 1u);
    EXPECT_TRUE(rig.sends.empty());
    while (!rig.held.empty())  // the add opens its slice: a read of the closed one follows
        for (const AddToCounter& add : std::exchange(rig.held, {}))
            rig.feed(CounterReplied{add.name, Outcome::ok, add.amount, {}});
    EXPECT_EQ(rig.sends.size(), 1u);
}

TEST(Window, RefusesPastTheLimitAndTakesTheChargeBack) {
    EngineFixture rig(plainSettings());
    for (int i = 0; i < 12; ++i) rig.request();
    EXPECT_EQ(rig.sends.size(), 8u);
    EXPECT_EQ(rig.refusals.size(), 4u);
    EXPECT_GT(rig.refusals[0].retryAfter, Duration::zero());
    rig.advance(milliseconds(1000));
    EXPECT_DOUBLE_EQ(rig.counted(), 8);
}

TEST(Window, CountsWhatOthersSentOn) {
    EngineFixture rig(plainSettings());
    rig.request();
    for (auto& [name, value] : rig.counts) value += 7;
    rig.request();
    EXPECT_EQ(rig.sends.size(), 1u);
    EXPECT_EQ(rig.refusals.size(), 1u);
}

TEST(Window, RateIsGivenBackEvenlyAfterABurst) {
    EngineFixture rig(plainSettings());
    for (int i = 0; i < 100; ++i) {
        const std::size_t before = rig.sends.size();
        rig.request();
        if (rig.sends.size() > before) rig.end(rig.sends.back(), 0, Outcome::ok, true);
        rig.advance(milliseconds(100));
    }
    EXPECT_NEAR(static_cast<double>(rig.sends.size()), 8 + 10 * 2, 1);  // the burst, then 2 a second
    EXPECT_GE(rig.adds, static_cast<int>(rig.sends.size()));
    for (const auto& [name, sum] : rig.counts) EXPECT_LE(sum, 8 + 4 * 2);  // one slice, with what it carries
}

TEST(Window, TheOpenerOfASliceCarriesTheDebtOfTheClosedOne) {
    EngineFixture rig(plainSettings());
    rig.request();
    EngineFixture other(plainSettings());
    other.counts = rig.counts;
    const std::string closed = other.counts.rbegin()->first;
    other.counts[closed] = 30;
    other.now += milliseconds(4000);  // one slice on, nobody has added to it
    other.request();
    EXPECT_EQ(other.sends.size(), 0u);
    EXPECT_EQ(other.refusals.size(), 1u);
    EXPECT_GE(other.counts.rbegin()->second, 30 - 2 * 4);  // what the slice's rate did not cover
}

TEST(Counter, ACrowdedCounterIsAskedLessAndEachAddStandsForMore) {
    EngineFixture rig(plainSettings());
    for (std::uint64_t k = 100; k < 160; ++k) {  // one request of each: most calls are turned away
        rig.counting = k % 3 == 0;
        rig.request(1, k);
        rig.failHeldAdds(Outcome::rejected);
    }
    const int poll_ = rig.adds;
    EXPECT_LT(poll_, 60);
    double most = 0;
    for (const auto& [name, sum] : rig.counts) most = std::max(most, sum);
    EXPECT_GT(most, 1.5);
    EXPECT_LE(most, 2);  // more would fill the windows of small tenants by chance
    EXPECT_EQ(rig.sends.size(), 60u - rig.refusals.size());
    rig.counting = true;
    for (std::uint64_t k = 200; k < 600; ++k) rig.request(1, k);
    const int before = rig.adds;
    for (std::uint64_t k = 600; k < 700; ++k) rig.request(1, k);
    EXPECT_GE(rig.adds - before, 90);  // it carries the load again
}

// An answer that can't be read, or a connection that breaks, says nothing of how much the counter can bear.
TEST(Counter, BrokenAnswersAreNoSignOfACrowd) {
    EngineFixture rig(plainSettings());
    for (std::uint64_t k = 100; k < 160; ++k) {
        rig.counting = k % 3 != 0;
        rig.request(1, k);
        rig.failHeldAdds(Outcome::reset);
    }
    EXPECT_EQ(rig.adds, 60 + 40);  // all ask; those that were answered also read the closed slice
}

// A tenant that was not seen in the slice before owes nothing, as far as is known: a crowded counter isn't
// asked.
TEST(Counter, ACrowdedOneIsNotAskedForClosedSlicesThatHardlyOwe) {
    EngineFixture rig(plainSettings());
    rig.counting = false;
    for (std::uint64_t k = 100; k < 103; ++k) {
        rig.request(1, k);
        rig.failHeldAdds(Outcome::rejected);
    }
    rig.counting = true;
    for (std::uint64_t k = 200; k < 210; ++k) rig.request(1, k);
    for (const auto& [name, sum] : rig.counts) EXPECT_GT(sum, 0) << name << " was only read";
}

TEST(Counter, ACrowdedOnesTakeBacksNeverTakeOffWhatWasSent) {
    EngineFixture rig(plainSettings());
    double least = 0;
    for (std::uint64_t k = 100; k < 300; ++k) {  // each asks for three times its burst
        for (int i = 0; i < 24; ++i) {
            rig.counting = (k + static_cast<std::uint64_t>(i)) % 3 == 0;  // most calls are turned away
            rig.request(1, k);
            rig.advance(milliseconds(10));
            rig.failHeldAdds(Outcome::rejected);
            for (const auto& [name, sum] : rig.counts) least = std::min(least, sum);
        }
    }
    EXPECT_GT(rig.refusals.size(), 1000u);
    EXPECT_GE(least, -1e-6);
}

// Of a crowded counter's answers those are worth most that tell of tenants near their quota.
TEST(Counter, ACrowdedOneIsAskedMostForThoseNearTheirQuota) {
    Settings s = plainSettings();
    s.plans[0].overQuotaPenalty = 1;
    EngineFixture rig(s);
    int frequent = 0, once = 0;
    for (std::uint64_t k = 100; k < 300; ++k) {
        rig.counting = false;
        int before = rig.adds;
        rig.request(1, 7);
        frequent += rig.adds - before;
        rig.failHeldAdds(Outcome::rejected);
        rig.counting = true;
        before = rig.adds;
        rig.request(1, k);
        once += std::min(1, rig.adds - before);  // the read of the closed slice is not meant
        rig.advance(milliseconds(50));
    }
    EXPECT_GT(frequent, 3 * once / 2);
    EXPECT_GT(once, 0);
}

// A crowded counter works on calls that nobody waits for: adding them once more would shut the tenant out.
TEST(Counter, AddsWithoutAnAnswerAreNotMadeTwice) {
    Settings s = plainSettings();
    s.plans[0].burst = 40;
    EngineFixture rig(s);
    rig.counting = false;
    for (int i = 0; i < 24; ++i) {
        rig.request(1, 5, milliseconds(2500), 1);
        for (const AddToCounter& add : rig.held) rig.counts[add.name] += add.amount;
        rig.failHeldAdds(Outcome::timedOut);
    }
    ASSERT_EQ(rig.sends.size(), 24u);
    for (const SendAttempt& send : rig.sends) rig.end(send, 0, Outcome::ok, true);
    rig.counting = true;
    for (int i = 0; i < 4; ++i) rig.request(1, 5, milliseconds(2500), 1);
    rig.advance(milliseconds(5000));
    EXPECT_GT(rig.counted(), 20);
    EXPECT_LE(rig.counted(), 28 + 1e-6);
}

// A sum has in it nothing of the calls that were made after its own.
TEST(Counter, WhatIsStillUnderWayIsTakenToBeLetIn) {
    EngineFixture rig(plainSettings());
    rig.counting = false;
    const auto ask = [&] {
        rig.request(1, 5, milliseconds(2500), 1);
        rig.advance(milliseconds(60));  // decided without the answer
    };
    for (int i = 0; i < 5; ++i) ask();
    ASSERT_EQ(rig.sends.size(), 5u);
    const AddToCounter first = rig.held.front();
    rig.held.erase(rig.held.begin());
    rig.feed(CounterReplied{first.name, Outcome::ok, 1, {}});
    for (int i = 0; i < 10; ++i) ask();
    EXPECT_LE(rig.sends.size(), 9u);  // the burst of 8 and 2 a second
    EXPECT_GE(rig.sends.size(), 8u);
}

// Where a try too many earns more than it costs, nobody is refused for what others may have let in.
TEST(Counter, UnseenUseOfOthersIsNotHeldAgainstAPlanThatLosesNothing) {
    for (const double overQuotaWeight : {0.0, 0.2}) {
        Settings s = plainSettings();
        s.plans[0].overQuotaWeight = overQuotaWeight;
        EngineFixture rig(s);
        rig.counting = false;
        for (int i = 0; i < 7; ++i) {
            rig.request(1, 5, milliseconds(2500), 4);
            rig.failHeldAdds(Outcome::timedOut);
        }
        EXPECT_EQ(rig.sends.size() == 7, overQuotaWeight > 0);
    }
}

TEST(Cold, AColdWorkersPartHoldsSummedOverManyGatekeepers) {
    int sent = 0;
    for (int k = 0; k < 200; ++k) {  // 200 gateways meet one cold endpoint, one request each
        Settings s = plainSettings();
        s.gatewayCount = 200;
        s.gatewayIndex = k;
        DecisionEngine engine(s, static_cast<std::uint64_t>(k) + 1);
        EndpointUpdate list;
        list.kind = UpdateKind::cached;
        for (int i = 0; i < 40; ++i) list.entries.push_back(EngineFixture::entry("w" + std::to_string(i)));
        list.entries[0].startedAt = milliseconds(100'000);
        list.entries[0].weight = 8;  // a large one, so that it looks idlest even when cold
        Actions out;
        engine.handle(milliseconds(100'000), list, out);
        RequestArrived r;
        r.request = RequestId("r");
        r.tenant = TenantId{static_cast<std::uint64_t>(k)};
        r.deadline = milliseconds(102'500);
        engine.handle(milliseconds(100'100), r, out);
        for (std::size_t i = 0; i < out.size(); ++i)
            if (const auto* add = std::get_if<AddToCounter>(&out[i]))
                engine.handle(milliseconds(100'101), CounterReplied{add->name, Outcome::ok, add->amount, {}},
                              out);
        for (const Action& action : out)
            if (const auto* send = std::get_if<SendAttempt>(&action)) sent += send->endpoint.value() == "w0";
    }
    EXPECT_LE(sent, 20);  // its part by weight and warmth is about 9 of the 200
}

// How many of 2,000 gateways, that hear of each endpoint very seldom, send the twelfth request to a cold
// one, 36 of the 60, where warm ones answered the three before in `took` and all earlier ones quickly.
int sentToCold(Duration took) {
    int sent = 0;
    constexpr int kKeepers = 2000, kCold = 36, kRequests = 12;
    for (int k = 0; k < kKeepers; ++k) {
        Settings s = plainSettings();
        s.gatewayCount = kKeepers;
        s.gatewayIndex = k;
        s.counterEnabled = false;
        DecisionEngine engine(s, static_cast<std::uint64_t>(k) + 1);
        EndpointUpdate list;
        list.kind = UpdateKind::cached;
        for (int i = 0; i < 60; ++i) {
            list.entries.push_back(EngineFixture::entry((i < kCold ? "cold" : "warm") + std::to_string(i)));
            if (i < kCold) list.entries.back().startedAt = milliseconds(100'000);
        }
        Actions out;
        Time now = milliseconds(60'000);
        engine.handle(now, list, out);
        for (int i = 0; i < kRequests; ++i, now += milliseconds(3000)) {
            out.clear();
            RequestArrived r;
            r.request = RequestId("r" + std::to_string(i));
            r.tenant = TenantId{static_cast<std::uint64_t>(k)};
            r.deadline = now + milliseconds(2500);
            engine.handle(now, r, out);
            const SendAttempt* send = std::get_if<SendAttempt>(&out.back());
            if (send == nullptr) continue;  // the limit on attempts out falls with slow answers
            const bool cold = send->endpoint.value().starts_with("cold");
            if (i == kRequests - 1) sent += cold;
            AttemptEnded answer;
            answer.request = r.request;
            answer.endpoint = send->endpoint;
            answer.elapsed = cold || i < kRequests - 4 ? milliseconds(100) : took;
            answer.closed = true;
            engine.handle(now + answer.elapsed, answer, out);
        }
    }
    return sent;
}

// A cold endpoint is no busier than warm ones while those have room: what it was sent beyond that would
// queue.
TEST(Cold, WhileWarmOnesAnswerQuicklyItTakesNoMoreThanItsWarmth) {
    const int sent = sentToCold(milliseconds(100));
    EXPECT_GE(sent, 2000 * 11 / 100);  // by warmth 0.25 x 36 / 60, so 15 in 100
    EXPECT_LE(sent, 2000 * 18 / 100);
}

// While most of a fleet is new, what the cold ones leave untouched falls on the few warm ones, by all
// gateways at once: where those get slow, the cold ones take a good part of what the multiple allows.
TEST(Cold, WhileMostOfTheFleetIsColdAndTheRestIsSlowItTakesMoreThanItsWarmth) {
    const int sent = sentToCold(plainSettings().classes[0].latencyObjective * 9 / 10);
    EXPECT_GE(sent, 2000 * 22 / 100);
    EXPECT_LE(sent, 2000 * 30 / 100);  // the tipping multiple of 2 is at 30
}

// The endpoints that gateway `self` of a hundred sends to, of sixty, when each attempt ends in `outcome`.
std::set<EndpointId> workersUsed(int self, Outcome outcome) {
    Settings s = plainSettings();
    s.gatewayCount = 100;
    s.gatewayIndex = self;
    s.counterEnabled = false;
    DecisionEngine engine(s, static_cast<std::uint64_t>(self) + 1);
    EndpointUpdate list;
    list.kind = UpdateKind::cached;
    for (int i = 0; i < 60; ++i) list.entries.push_back(EngineFixture::entry("w" + std::to_string(i)));
    Actions out;
    Time now = milliseconds(100'000);
    engine.handle(now, list, out);
    std::set<EndpointId> used;
    for (int i = 0; i < 100; ++i) {
        RequestArrived r;
        r.request = RequestId("r" + std::to_string(i));
        r.tenant = TenantId{static_cast<std::uint64_t>(i)};
        r.deadline = now + milliseconds(2500);
        out.clear();
        engine.handle(now, r, out);
        now += milliseconds(20);
        // Further attempts of the same request are answered as they come.
        for (std::size_t at = 0, attempt = 0; at < out.size(); ++at) {
            const auto* send = std::get_if<SendAttempt>(&out[at]);
            if (send == nullptr) continue;
            AttemptEnded ended;
            ended.request = r.request;
            ended.attempt = static_cast<int>(attempt++);
            ended.endpoint = send->endpoint;
            ended.outcome = outcome;
            ended.elapsed = milliseconds(20);
            ended.closed = outcome == Outcome::ok;
            used.insert(ended.endpoint);
            engine.handle(now, ended, out);
        }
    }
    return used;
}

// Connections cost endpoints work and room: among many gateways each uses a few endpoints, and no endpoint is
// left out or has more of them than another.
TEST(Subset, OneOfManyGatekeepersUsesAFewWorkersAndAllWorkersAreUsedAlike) {
    std::map<EndpointId, int> users;
    for (int self = 0; self < 100; ++self) {
        const auto used = workersUsed(self, Outcome::ok);
        EXPECT_LE(used.size(), 8u);
        for (const EndpointId& endpoint : used) ++users[endpoint];
    }
    EXPECT_EQ(users.size(), 60u);
    for (const auto& [endpoint, count] : users) {
        EXPECT_GE(count, 11) << endpoint;
        EXPECT_LE(count, 16) << endpoint;
    }
}

TEST(Subset, OthersAreUsedWhereNoneOfItCanBeReached) {
    EXPECT_GT(workersUsed(0, Outcome::connectFailed).size(), 8u);
}

TEST(Workers, SilentOnesAmongQuickOnesDoNotShutTheGate) {
    Settings s = plainSettings();
    s.plans[0].rate = s.plans[0].burst = 1e6;
    s.gatewayCount = 300;
    EngineFixture rig(s, 20);
    std::size_t refused = 0;
    for (int i = 0; i < 200; ++i) {  // eight endpoints of twenty answer nothing
        const std::size_t before = rig.sends.size();
        rig.request();
        for (int attempt = 0; rig.sends.size() > before + static_cast<std::size_t>(attempt); ++attempt) {
            const SendAttempt sent = rig.sends.back();
            AttemptEnded e;
            e.request = sent.request;
            e.attempt = attempt;
            e.endpoint = sent.endpoint;
            const bool silent = sent.endpoint.value().size() == 2 && sent.endpoint.value() < "w8";
            e.outcome = silent ? Outcome::timedOut : Outcome::ok;
            e.elapsed = silent ? milliseconds(600) : milliseconds(80);
            e.closed = !silent;
            rig.feed(e);
        }
        refused += rig.sends.size() == before;
        rig.advance(milliseconds(250));
    }
    EXPECT_LE(refused, 10u);
}

// Among many gateways each sees a tenant so seldom that its guess of what the others let in can be many
// times the truth. Posted as debt, it would shut the tenant out at all of them.
TEST(Window, AGuessOfTheOthersIsNotPostedAsDebt) {
    Settings s = plainSettings();
    s.gatewayCount = 100;
    s.usageMeterPeriod = milliseconds(1000);
    EngineFixture rig(s, 60);
    rig.counting = false;
    rig.request(1, 5, milliseconds(2500), 75);
    rig.failHeldAdds(Outcome::connectFailed);  // let in on what is known here, and owed to the counter
    ASSERT_EQ(rig.sends.size(), 1u);
    rig.counting = true;
    rig.advance(milliseconds(4000));
    rig.request(1, 5, milliseconds(2500), 75);  // opens the next slice and reads the closed one
    rig.advance(milliseconds(4000));
    EXPECT_EQ(rig.sends.size(), 2u);
    EXPECT_LE(rig.counted(), 4);
}

TEST(Counter, ACrowdedOneIsAskedByTheMeterWhereOwnRequestsAreFew) {
    Settings s = plainSettings();
    s.gatewayCount = 100;
    s.usageMeterPeriod = milliseconds(1000);
    s.plans[0].rate = 20;
    s.plans[0].burst = 80;
    EngineFixture rig(s, 60);
    int adds[2] = {0, 0};  // of one that uses all of its quota, and of one that uses little
    for (int i = 0; i < 120; ++i) {
        const int which = i % 2;
        // Now and then calls time out: the counter is crowded.
        rig.counting = i < 20 || i % 10 > 1;
        const int before = rig.adds;
        rig.request(1, static_cast<std::uint64_t>(5 + which), milliseconds(2500), 75);
        if (i >= 20) adds[which] += rig.adds > before;
        rig.failHeldAdds(Outcome::timedOut);
        AttemptEnded e;
        e.request = rig.sends.back().request;
        e.endpoint = rig.sends.back().endpoint;
        e.closed = true;
        e.meteredPercent = which == 0 ? 100 : 5;
        rig.feed(e);
        rig.advance(milliseconds(50));
    }
    EXPECT_GT(adds[0], adds[1] + 10);
}

// A tenant held to its quota reads 100% however much it asks for. Over a whole fleet, all that goes unasked
// then comes on top of it.
TEST(Counter, UnaskedOnesOfACustomerAtItsQuotaAreLetInLessWhereOneTooManyCosts) {
    const auto sharedLetIn = [](double overQuotaPenalty) {
        Settings s = plainSettings();
        s.gatewayCount = 100;
        s.usageMeterPeriod = milliseconds(1000);
        s.plans[0].rate = 200;
        s.plans[0].burst = 800;
        s.plans[0].overQuotaPenalty = overQuotaPenalty;
        EngineFixture rig(s, 60);
        rig.counting = false;
        for (int i = 0; i < 400; ++i) {
            const std::size_t before = rig.sends.size();
            rig.request(1, 5, milliseconds(2500), 75);
            rig.failHeldAdds(Outcome::connectFailed);
            rig.advance(milliseconds(50));
            if (rig.sends.size() == before) continue;
            AttemptEnded e;
            e.request = rig.sends.back().request;
            e.endpoint = rig.sends.back().endpoint;
            e.closed = true;
            e.meteredPercent = 100;
            rig.feed(e);
        }
        return static_cast<double>(rig.sends.size()) / 400;
    };
    EXPECT_GT(sharedLetIn(0), 0.95);
    EXPECT_LT(sharedLetIn(1), 0.45);
    EXPECT_GT(sharedLetIn(1), 0.2);
}

// Without a meter nothing tells of a tenant that comes here seldom: what is let in of such without an
// answer comes on top of quotas as often as the counter's answers leave others of their plan no room.
TEST(Counter, WithoutAMeterUnaskedOnesAreLetInAsOthersOfTheirPlanHaveRoom) {
    const auto letIn = [](bool othersHaveRoom, double overQuotaPenalty) {
        Settings s = plainSettings();
        s.gatewayCount = 100;
        s.plans[0].overQuotaPenalty = overQuotaPenalty;
        EngineFixture rig(s, 60);
        rig.counting = false;
        constexpr std::uint64_t kOthers = 200, kUnasked = 200;
        for (std::uint64_t i = 0; i < kOthers + kUnasked; ++i) {
            const std::size_t before = rig.sends.size();
            rig.request(1, 5 + i, milliseconds(2500), 75);
            while (i < kOthers && !rig.held.empty()) {
                const AddToCounter add = rig.held.front();
                rig.held.erase(rig.held.begin());
                rig.feed(CounterReplied{add.name, Outcome::ok, othersHaveRoom ? 2.0 : 100.0, {}});
            }
            if (i >= kOthers) rig.failHeldAdds(Outcome::connectFailed);
            if (rig.sends.size() > before) rig.end(rig.sends.back(), 0, Outcome::ok, true);
            if (i + 1 == kOthers) rig.sends.clear();
            rig.advance(milliseconds(50));
        }
        return static_cast<double>(rig.sends.size()) / kUnasked;
    };
    EXPECT_GT(letIn(true, 1), 0.95);
    EXPECT_GT(letIn(false, 0), 0.95);  // one too many costs nothing
    EXPECT_LT(letIn(false, 1), 0.2);
}

// Plans have slices of their own lengths: one's number says nothing under another plan.
TEST(Window, ACustomerThatComesUnderAnotherPlanIsServedByThatOnesQuota) {
    Settings s = plainSettings();
    s.plans.push_back(s.plans[0]);
    s.plans[1].rate = 0.5;  // slices of 16 s
    EngineFixture rig(s);
    const auto ask = [&](int plan) {
        RequestArrived r;
        r.request = RequestId("p" + std::to_string(++rig.requests));
        r.tenant = TenantId{5};
        r.plan = plan;
        r.deadline = rig.now + milliseconds(2500);
        rig.feed(r);
    };
    for (const int plan : {0, 1, 0, 1}) ask(plan);
    EXPECT_EQ(rig.sends.size(), 4u);
    EXPECT_TRUE(rig.refusals.empty());
}

TEST(Window, ChargesTakenBackInAClosedSliceGiveTheirRoomBack) {
    EngineFixture rig(plainSettings());
    rig.request();
    for (auto& [name, value] : rig.counts)
        if (value > 0) value += 6;  // another gateway's refused tries, not yet taken back
    rig.request();
    for (auto& [name, value] : rig.counts)
        if (value > 0) value -= 6;
    rig.advance(milliseconds(2100));
    for (int i = 0; i < 10; ++i) rig.request();
    EXPECT_EQ(rig.sends.size(), 10u);  // 2 before, room for 8 now
}

TEST(Window, OpensAgainOnceTheSlicesHaveLeft) {
    EngineFixture rig(plainSettings());
    for (int i = 0; i < 9; ++i) rig.request();
    ASSERT_EQ(rig.sends.size(), 8u);
    for (const SendAttempt& s : std::vector(rig.sends)) rig.end(s, 0, Outcome::ok, true);
    rig.advance(milliseconds(8000));
    rig.request();
    EXPECT_EQ(rig.sends.size(), 9u);
}

TEST(Settlement, TrueCostIsCarriedAsDebtAndRefund) {
    Settings s = plainSettings();
    s.reconciliationEnabled = true;
    EngineFixture rig(s);
    rig.request();
    rig.end(rig.sends[0], 0, Outcome::ok, true, 11);  // 3 beyond the burst: a debt of 1.5 s
    rig.advance(milliseconds(1000));
    EXPECT_DOUBLE_EQ(rig.counted(), 11);
    rig.request();
    EXPECT_EQ(rig.refusals.size(), 1u);

    rig.advance(milliseconds(1500));
    rig.request();
    EXPECT_EQ(rig.sends.size(), 2u);

    EngineFixture refund(s);
    refund.request(2);
    refund.end(refund.sends[0], 0, Outcome::ok, true, 1);
    refund.advance(milliseconds(1000));
    EXPECT_DOUBLE_EQ(refund.counted(), 1);
}

TEST(Counter, SilenceIsWaitedForOnlyBriefly) {
    EngineFixture rig(plainSettings());
    rig.counting = false;
    rig.request();
    rig.advance(milliseconds(60));
    EXPECT_EQ(rig.sends.size(), 1u);
}

TEST(Counter, WhileAwayNeitherOpenNorShutAndNotHammered) {
    EngineFixture rig(plainSettings());
    rig.counting = false;
    for (int i = 0; i < 200; ++i) {
        rig.request(1, static_cast<std::uint64_t>(i % 4));
        rig.advance(milliseconds(5));
        rig.failHeldAdds(Outcome::connectFailed);
    }
    // Four tenants with room for 8 units each, of which this gateway takes a share.
    EXPECT_GE(rig.sends.size(), 8u);
    EXPECT_LE(rig.sends.size(), 32u);
    EXPECT_LT(rig.adds, 200);
}

TEST(Counter, LostCountsArePutBack) {
    EngineFixture rig(plainSettings());
    for (int i = 0; i < 5; ++i) rig.request();
    rig.counts.clear();
    for (int i = 0; i < 7; ++i) rig.request();
    EXPECT_EQ(rig.sends.size(), 8u);
    rig.advance(milliseconds(500));
    EXPECT_DOUBLE_EQ(rig.counted(), 8);
}

// What other gateways settle below their guesses lowers a sum too: put in again, it would shut out a
// tenant that has room. A crowded counter makes no difference to that.
TEST(Counter, RefundsOfOthersAreNotTakenForLostCounts) {
    Settings s = plainSettings();
    s.reconciliationEnabled = true;
    EngineFixture rig(s);
    rig.request(2);
    rig.counting = false;
    rig.request(1, 9);
    rig.failHeldAdds(Outcome::connectFailed);
    rig.counting = true;
    for (auto& [name, value] : rig.counts)
        if (value > 0) value -= 2;
    for (int i = 0; i < 4; ++i) rig.request();
    rig.advance(milliseconds(1500));
    double sum = 0;
    for (const auto& [name, value] : rig.counts)
        if (name.starts_with("q5.")) sum += value;
    EXPECT_EQ(rig.sends.size(), 6u);
    EXPECT_LE(sum, 4);  // 6 sent less the refund of 2
}

TEST(Counter, NotPermittedMeansAShareOfTheQuota) {
    Settings s = plainSettings();
    s.counterEnabled = false;
    EngineFixture rig(s);
    for (int i = 0; i < 12; ++i) rig.request();
    EXPECT_EQ(rig.adds, 0);
    EXPECT_GE(rig.sends.size(), 3u);
    EXPECT_LE(rig.sends.size(), 5u);
}

TEST(Counter, LateAndUnknownAnswersArePassedOver) {
    EngineFixture rig(plainSettings());
    rig.feed(CounterReplied{"q99.3", Outcome::ok, 4, {}});
    rig.feed(CounterReplied{"nonsense", Outcome::ok, 4, {}});
    rig.feed(TimerFired{TimerId{12345}});
    rig.feed(ClientDisconnected{RequestId("nobody")});
    AttemptEnded e;
    e.request = RequestId("nobody");
    rig.feed(e);
    EXPECT_TRUE(rig.sends.empty() && rig.refusals.empty() && rig.fails.empty());
}

TEST(Ceiling, HoldsWithoutTheCounterAndIsEmptyAfterAStart) {
    Settings s = plainSettings();
    s.counterEnabled = false;
    s.plans[0].rate = 1000;
    s.plans[0].burst = 4000;
    s.plans[0].ceilingRate = 10;
    s.plans[0].ceilingBurst = 20;
    EngineFixture rig(s);
    rig.request();
    EXPECT_TRUE(rig.sends.empty());
    rig.advance(milliseconds(60'000));
    for (int i = 0; i < 20; ++i) rig.request();
    EXPECT_EQ(rig.sends.size(), 10u);  // half of the store: two gateways share it
}

// Several gateways share a tenant's ceiling; all they send on is summed against rate, store and slack.
// They share a counter that answers some of them, now and then falls silent and now and then comes back
// empty.
TEST(Ceiling, HoldsInSumWhileTheCounterFailsAndForgets) {
    constexpr int entryPoints = 4;
    Settings s = plainSettings();
    s.gatewayCount = entryPoints;
    s.maxRequestCost = 4;
    QuotaPlan& plan = s.plans[0];
    plan.rate = 20;
    plan.burst = 30;
    plan.ceilingRate = 35;
    plan.ceilingBurst = 50;
    plan.ceilingSlack = 5;
    for (const int answering : {0, 1, 2, 4}) {  // gateways that the counter answers
        std::vector<EngineFixture> rigs;
        for (int i = 0; i < entryPoints; ++i) rigs.emplace_back(s);
        std::map<std::string, double> counts;
        double store = plan.ceilingBurst, least = store, all = 0;
        for (int step = 0; step < 4000; ++step) {  // 40 s, half of them asked beyond the ceiling
            store = std::min(plan.ceilingBurst, store + plan.ceilingRate * 0.01);
            for (int i = 0; i < entryPoints; ++i) {
                EngineFixture& rig = rigs[static_cast<std::size_t>(i)];
                rig.advance(milliseconds(10));
                rig.counting = i < answering && step % 700 < 600;
                if (step % 500 == 0) counts.clear();
                rig.counts = counts;
                if ((step + i) % 4 != 0 || step % 1000 >= 500) continue;
                const double cost = 1 + (step / 4 + i) % 4;
                const std::size_t before = rig.sends.size();
                rig.request(cost, 5, milliseconds(2500), entryPoints);
                rig.failHeldAdds(Outcome::timedOut);
                for (std::size_t k = before; k < rig.sends.size(); ++k) {
                    store -= cost;
                    all += cost;
                    rig.end(rig.sends[k], 0, Outcome::ok, true);
                }
                least = std::min(least, store);
                counts = rig.counts;
            }
        }
        EXPECT_GE(least, -plan.ceilingSlack) << answering << " gatekeepers answered";
        EXPECT_GE(all, 0.25 * plan.rate * 40) << answering << " gatekeepers answered";
    }
}

// A tenant that comes through one of its gateways only gets its quota there, from the first moment on:
// what the counter answered for is within the quota, whatever the ceiling's parts.
TEST(Ceiling, WhatTheCounterAnsweredForDrawsOnNoPartOfIt) {
    Settings s = plainSettings();
    QuotaPlan& plan = s.plans[0];
    plan.rate = 20;
    plan.burst = 30;
    plan.ceilingRate = 35;
    plan.ceilingBurst = 50;
    EngineFixture rig(s);
    for (int i = 0; i < 40; ++i) rig.request(1, 5, milliseconds(2500), 4);
    EXPECT_GE(rig.sends.size(), 29u);
    for (const SendAttempt& send : rig.sends) rig.end(send, 0, Outcome::ok, true);
    rig.counting = false;
    rig.advance(milliseconds(1500));
    const std::size_t before = rig.sends.size();
    for (int i = 0; i < 12; ++i) {
        rig.request(1, 5, milliseconds(2500), 4);
        rig.failHeldAdds(Outcome::timedOut);
    }
    EXPECT_EQ(rig.sends.size() - before, 5u);  // a quarter of the 20 that the ceiling holds over the burst
}

TEST(Ceiling, FewerEntryPointsDoNotFillAPartThatOthersHaveSpent) {
    Settings s = plainSettings();
    s.counterEnabled = false;
    s.plans[0].rate = s.plans[0].burst = 4000;
    s.plans[0].ceilingRate = 10;
    s.plans[0].ceilingBurst = 20;
    EngineFixture rig(s);
    rig.advance(milliseconds(60'000));
    for (int i = 0; i < 10; ++i) rig.request(1, 5, milliseconds(2500), 4);
    EXPECT_EQ(rig.sends.size(), 5u);  // a quarter of the store
    rig.advance(milliseconds(1000));
    for (int i = 0; i < 20; ++i) rig.request(1, 5, milliseconds(2500), 1);
    EXPECT_EQ(rig.sends.size(), 7u);  // a quarter of the rate until now
    rig.advance(milliseconds(1000));
    for (int i = 0; i < 20; ++i) rig.request(1, 5, milliseconds(2500), 1);
    EXPECT_EQ(rig.sends.size(), 17u);  // all of it from now on
}

TEST(Effects, UnsafeIsNotSentAgainOnceItMayHaveRun) {
    Settings s = plainSettings();
    s.classes[0].idempotency = Idempotency::none;
    EngineFixture rig(s);
    rig.request();
    rig.end(rig.sends[0], 0, Outcome::connectFailed, false);
    ASSERT_EQ(rig.sends.size(), 2u);  // never ran: may go elsewhere
    rig.end(rig.sends[1], 1, Outcome::reset, false);
    EXPECT_EQ(rig.sends.size(), 2u);
    EXPECT_EQ(rig.fails.size(), 1u);
    EXPECT_TRUE(rig.refusals.empty());
}

TEST(Effects, KeyedStaysInItsCellAndWindow) {
    Settings s = plainSettings();
    s.classes[0].idempotency = Idempotency::withKey;
    s.classes[0].deduplicationScope = DeduplicationScope::cell;
    s.classes[0].idempotencyWindow = milliseconds(400);
    EngineFixture rig(s);
    for (std::uint64_t c = 0; c < 8; ++c) {
        const std::size_t before = rig.sends.size();
        rig.request(1, c);
        ASSERT_EQ(rig.sends.size(), before + 1);
        const SendAttempt first = rig.sends.back();
        rig.end(first, 0, Outcome::error, false);
        if (rig.sends.size() == before + 1) continue;  // failed instead: permitted too
        const auto cell = [](const EndpointId& w) { return (w.value()[1] - '0') / 2; };
        EXPECT_EQ(cell(rig.sends.back().endpoint), cell(first.endpoint));
        rig.end(rig.sends.back(), 1, Outcome::ok, true);
    }
    EngineFixture late(s);
    late.request();
    late.advance(milliseconds(450));
    late.end(late.sends[0], 0, Outcome::error, false);
    EXPECT_EQ(late.sends.size(), 1u);
    EXPECT_EQ(late.fails.size(), 1u);
}

// Its connection may come up late: it is told how long it may take to begin, from its earliest send.
TEST(Effects, AKeyedRepeatMustBeginWithinTheWindowAndOthersAtAnyTime) {
    for (const Outcome first : {Outcome::reset, Outcome::rejected}) {
        Settings s = plainSettings();
        s.classes[0].idempotency = Idempotency::withKey;
        s.classes[0].deduplicationScope = DeduplicationScope::all;
        s.classes[0].idempotencyWindow = milliseconds(400);
        EngineFixture rig(s);
        rig.request();
        EXPECT_EQ(rig.sends.at(0).beginWithin, Duration::zero());
        rig.advance(milliseconds(150));
        rig.end(rig.sends[0], 0, first, false);
        ASSERT_EQ(rig.sends.size(), 2u);
        EXPECT_EQ(rig.sends[1].beginWithin, first == Outcome::reset ? milliseconds(250) : Duration::zero());
        rig.advance(milliseconds(150));
        rig.end(rig.sends[1], 1, Outcome::connectFailed, false);
        ASSERT_EQ(rig.sends.size(), 3u);
        EXPECT_EQ(rig.sends[2].beginWithin, first == Outcome::reset ? milliseconds(100) : Duration::zero());
    }
}

TEST(Answers, OneFinalAnswerAndNothingAfterIt) {
    EngineFixture rig(plainSettings());
    rig.request();
    rig.end(rig.sends[0], 0, Outcome::ok, true);
    rig.end(rig.sends[0], 0, Outcome::ok, true);
    rig.request(1, 5, milliseconds(0));
    EXPECT_EQ(rig.sends.size(), 1u);
    EXPECT_EQ(rig.refusals.size() + rig.fails.size(), 1u);
}

TEST(Answers, AClientThatLeavesHasItsAttemptCancelled) {
    EngineFixture rig(plainSettings());
    const std::string id = rig.request();
    rig.feed(ClientDisconnected{RequestId(id)});
    ASSERT_EQ(rig.others.size(), 1u);
    EXPECT_TRUE(std::holds_alternative<CancelAttempt>(rig.others[0]));
    rig.end(rig.sends[0], 0, Outcome::cancelled, true);
    EXPECT_TRUE(rig.refusals.empty() && rig.fails.empty());
}

TEST(Answers, AClientAboutToLeaveIsAnsweredBeforeItDoes) {
    EngineFixture rig(plainSettings());
    rig.counting = false;
    rig.request(1, 5, milliseconds(1));
    rig.request(1, 5, milliseconds(40));
    rig.advance(milliseconds(20));
    EXPECT_EQ(rig.refusals.size() + rig.sends.size(), 2u);
}

TEST(Workers, DrainsActAtOnce) {
    EngineFixture rig(plainSettings(), 2);
    EndpointUpdate change;
    change.entries = {EngineFixture::entry("w0")};
    change.entries[0].availability = Availability::draining;
    rig.feed(change);
    for (std::uint64_t c = 0; c < 5; ++c) rig.request(1, c);
    for (const SendAttempt& s : rig.sends) EXPECT_EQ(s.endpoint, "w1");
    EndpointUpdate whole;
    whole.kind = UpdateKind::snapshot;
    whole.entries = {EngineFixture::entry("w0")};
    rig.feed(whole);
    rig.sends.clear();
    rig.request(1, 9);
    ASSERT_EQ(rig.sends.size(), 1u);
    EXPECT_EQ(rig.sends[0].endpoint, "w0");
}

TEST(Workers, AColdOneIsSentLittle) {
    EngineFixture rig(plainSettings(), 4);
    rig.now += milliseconds(1000);
    EndpointUpdate change;
    change.entries = {EngineFixture::entry("w3", 1)};
    change.entries[0].startedAt = rig.now;
    rig.feed(change);
    int cold = 0;
    for (std::uint64_t c = 0; c < 40; ++c) {
        rig.request(1, c);
        cold += rig.sends.back().endpoint.value() == "w3";
        if (rig.sends.size() > 8) rig.end(rig.sends[rig.sends.size() - 9], 0, Outcome::ok, true);
        rig.advance(milliseconds(20));
    }
    EXPECT_GE(cold, 1);
    EXPECT_LE(cold, 6);
}

TEST(Workers, ManyGatekeepersStartWithShortQueues) {
    Settings s = plainSettings();
    s.gatewayCount = 11;
    EngineFixture rig(s, 2);
    for (std::uint64_t c = 0; c < 30; ++c) rig.request(1, c);
    EXPECT_EQ(rig.sends.size(), 2u);  // one at each endpoint, and so eleven over all gateways
    EXPECT_EQ(rig.refusals.size(), 30 - rig.sends.size());
}

// What is harmless at one gateway fills every queue when all do it: 100 of them with 10 attempts out each
// hold 17 at every endpoint. Their first attempts show too late how full those are.
TEST(Workers, ManyGatekeepersTogetherDoNotFillTheQueuesBeforeTheFirstAnswer) {
    Settings s = plainSettings();
    s.gatewayCount = 100;
    EngineFixture rig(s, 60);
    for (std::uint64_t c = 0; c < 12; ++c) rig.request(1, c);
    EXPECT_GE(rig.sends.size(), 2u);
    EXPECT_LE(rig.sends.size(), 4u);
    ASSERT_FALSE(rig.refusals.empty());
    EXPECT_GT(rig.refusals.back().retryAfter, Duration::zero());
}

TEST(Workers, OneSlowAnswerInFiveLowersTheLimitOnAttemptsOut) {
    Settings s = plainSettings();
    EngineFixture rig(s, 4);
    for (int i = 0; i < 200; ++i) {
        rig.request(1, static_cast<std::uint64_t>(100 + i));
        AttemptEnded e;
        e.request = rig.sends.back().request;
        e.endpoint = rig.sends.back().endpoint;
        e.elapsed = i % 5 == 0 ? milliseconds(400) : milliseconds(100);  // of an aim of 600
        e.closed = true;
        rig.feed(e);
        rig.advance(milliseconds(100));
    }
    const std::size_t before = rig.sends.size();
    for (std::uint64_t c = 0; c < 12; ++c) rig.request(1, 400 + c);
    EXPECT_LE(rig.sends.size() - before, 3u);
}

TEST(Workers, FastErrorsPutOneAsideAndItComesBack) {
    EngineFixture rig(plainSettings(), 4);
    int bad = 0, late = 0;
    for (std::uint64_t c = 0; c < 500; ++c) {
        const std::size_t before = rig.sends.size();
        rig.request(1, c);
        for (std::size_t i = before; i < rig.sends.size(); ++i) {
            const bool fails = rig.sends[i].endpoint.value() == "w1" && c < 200;
            bad += rig.sends[i].endpoint.value() == "w1" && c < 200;
            late += rig.sends[i].endpoint.value() == "w1" && c >= 200;
            rig.end(rig.sends[i], static_cast<int>(i - before), fails ? Outcome::error : Outcome::ok, !fails);
        }
        rig.advance(milliseconds(100));
    }
    EXPECT_LT(bad, 20);
    EXPECT_GE(late, 2);
}

// An endpoint short of connections turns away what it is sent while the others answer quickly: it is left
// alone, and the gate stays open for the others.
TEST(Workers, OneThatTurnsAwayAmongQuickOnesDoesNotShutTheGate) {
    Settings s = plainSettings();
    s.plans.clear();
    EngineFixture rig(s);
    int toSick = 0;
    for (int i = 0; i < 400; ++i) {
        rig.sends.clear();
        rig.request();
        for (std::size_t k = 0; k < rig.sends.size() && k < 4; ++k) {
            const SendAttempt send = rig.sends[k];
            const bool sick = send.endpoint.value() == "w0";
            toSick += i >= 200 && sick;
            rig.end(send, static_cast<int>(k), sick ? Outcome::rejected : Outcome::ok, !sick);
        }
        rig.advance(milliseconds(10));
    }
    EXPECT_LT(toSick, 8);  // of 200 requests; a try now and then shows whether it is well again
    EXPECT_LT(rig.refusals.size(), 4u);
}

// An endpoint that has gone leaves its place to a new one; a keyed request that may have run there stays in
// its cell.
TEST(Workers, AGoneOnesPlaceIsTakenAndItsCellStaysTheRequests) {
    Settings s = plainSettings();
    s.classes[0].idempotency = Idempotency::withKey;
    s.classes[0].deduplicationScope = DeduplicationScope::cell;
    s.classes[0].idempotencyWindow = milliseconds(2500);
    s.plans.clear();
    EngineFixture rig(s, 2);  // both in cell 0
    rig.request();
    ASSERT_EQ(rig.sends.size(), 1u);
    const SendAttempt first = rig.sends[0];
    EndpointUpdate change;
    change.entries = {EngineFixture::entry(first.endpoint.value()),
                      EngineFixture::entry(first.endpoint.value() == "w0" ? "w1" : "w0")};
    for (EndpointEntry& e : change.entries) e.availability = Availability::removed;
    rig.feed(change);
    change.entries = {EngineFixture::entry("n1", 1), EngineFixture::entry("n2", 1),
                      EngineFixture::entry("n3", 1)};
    rig.feed(change);
    rig.end(first, 0, Outcome::error, false);
    EXPECT_EQ(rig.sends.size(), 1u);  // none of its cell is left
    EXPECT_EQ(rig.fails.size(), 1u);
}

TEST(DiscoveryMode, AsksWhereTheListIsNotPushedAndAgainAfterAFailure) {
    Settings s = plainSettings();
    s.discovery = DiscoveryMode::poll;
    s.maxPollInterval = milliseconds(10'000);
    EngineFixture rig(s);
    ASSERT_EQ(rig.others.size(), 1u);
    EXPECT_TRUE(std::holds_alternative<WatchEndpoints>(rig.others[0]));
    EndpointUpdate failed;
    failed.kind = UpdateKind::failed;
    rig.feed(failed);
    rig.advance(milliseconds(2'500));  // the list counts as told after four times mustAsk at most
    EXPECT_EQ(rig.others.size(), 2u);
    rig.request();
    EXPECT_EQ(rig.sends.size(), 1u);  // the list before stays valid
}

TEST(Concurrency, AQuotaOfOpenAttemptsIsHeld) {
    Settings s = plainSettings();
    s.plans[0] = QuotaPlan{};
    s.plans[0].concurrency = 4;  // over two gateways
    EngineFixture rig(s);
    for (int i = 0; i < 6; ++i) rig.request();
    EXPECT_EQ(rig.sends.size(), 2u);
    rig.end(rig.sends[0], 0, Outcome::ok, true);
    rig.request();
    EXPECT_EQ(rig.sends.size(), 3u);
    EXPECT_EQ(rig.refusals.size(), 4u);
}

TEST(Streams, AStartedStreamIsLeftAlone) {
    Settings s = plainSettings();
    s.classes[0].streamed = true;
    EngineFixture rig(s);
    const std::string id = rig.request();
    rig.feed(StreamStarted{RequestId(id), 0, rig.sends[0].endpoint, milliseconds(20)});
    rig.advance(milliseconds(20'000));
    rig.end(rig.sends[0], 0, Outcome::reset, true);  // the break of a stream closes the request
    EXPECT_EQ(rig.sends.size(), 1u);
    EXPECT_TRUE(rig.refusals.empty() && rig.fails.empty() && rig.others.empty());
}

TEST(OddSizes, EveryRequestIsAnsweredAndCeilingsHold) {
    for (const int gatewayCount : {1, 3, 5000})
        for (const int entryPoints : {0, 1, 40, 9000})  // none, and more than there are gateways
            for (const bool counterEnabled : {false, true}) {
                Settings s = plainSettings();
                s.gatewayCount = gatewayCount;
                s.counterEnabled = counterEnabled;
                s.plans[0].ceilingRate = 4;
                s.plans[0].ceilingBurst = 16;
                EngineFixture rig(s);
                rig.advance(milliseconds(5000));
                double sent = 0;
                for (int i = 0; i < 200; ++i) {
                    const std::size_t before = rig.sends.size();
                    rig.request(1, 5, milliseconds(2500), entryPoints);
                    for (std::size_t k = before; k < rig.sends.size(); ++k)
                        rig.end(rig.sends[k], static_cast<int>(k - before), Outcome::ok, true);
                    sent += static_cast<double>(rig.sends.size() - before);
                    rig.advance(milliseconds(100));
                }
                EXPECT_EQ(rig.sends.size() + rig.refusals.size() + rig.fails.size(), 200u);
                // On the counter's word one gateway may let in all that the quota allows.
                EXPECT_LE(sent, (16 + 4 * 20) /
                                    (counterEnabled ? 1 : std::max(1.0, static_cast<double>(entryPoints))));
                if (entryPoints < 2) {
                    EXPECT_GE(sent, 20) << gatewayCount << " gatekeepers";
                }
            }
}

TEST(Determinism, SameEventsSameActions) {
    EngineFixture a(plainSettings()), b(plainSettings());
    for (std::uint64_t c = 0; c < 30; ++c) {
        a.request(1, c);
        b.request(1, c);
    }
    ASSERT_EQ(a.sends.size(), b.sends.size());
    for (std::size_t i = 0; i < a.sends.size(); ++i) EXPECT_EQ(a.sends[i].endpoint, b.sends[i].endpoint);
}

}  // namespace
}  // namespace gateway
