#include "config/gateway_settings.h"
#include "gateway/backend_book.h"
#include "gateway/event_splitter.h"
#include "gateway/load_report_codec.h"
#include "gateway/relay_plan.h"
#include "gateway/request_parser.h"
#include "gateway/retry_allowance.h"
#include "gateway/server_registry.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace carawaypoint
{

namespace
{

using testing::ElementsAre;
using testing::HasSubstr;
using testing::IsEmpty;

constexpr TimePoint Start{hours(1)};
constexpr Duration Tick = milliseconds(100);

class FakeCall : public MovableCall
{
public:
    bool hasBegun() const override
    {
        return isBegun;
    }
    void moveAway() override
    {
        ++moves;
    }
    bool isBegun = true;
    int moves = 0;
};

ServingTarget makeTarget(const std::string &id, const std::string &zone = "a")
{
    return {VmId(id), {"10.0.0.1", 80}, ZoneId(zone), 10, 1, ReplicaId("r-" + id), 1};
}

BackendServer makeServer(const std::string &id)
{
    BackendServer server;
    server.id = VmId(id);
    return server;
}

}

// Guards against events that are cut or merged when they arrive in pieces.
TEST(EventSplitter, keepsBytesAndFindsIds)
{
    EventSplitter splitter;
    const std::string text = "id: 7\ndata: a\n\nid:8\r\ndata: b\r\n\r\ndata: c\n\nid: 9\nda";
    std::vector<std::string> events;
    std::vector<std::optional<std::uint64_t>> ids;
    for (const char byte : text) {
        splitter.feed({&byte, 1});
        while (const auto event = splitter.next()) {
            events.emplace_back(event->bytes);
            ids.push_back(event->id);
        }
    }
    EXPECT_THAT(events, ElementsAre("id: 7\ndata: a\n\n", "id:8\r\ndata: b\r\n\r\n", "data: c\n\n"));
    EXPECT_THAT(ids, ElementsAre(7, 8, std::nullopt));
    EXPECT_EQ(splitter.rest(), "id: 9\nda");
}

// Guards against more repeats than the fleet may send in any window.
TEST(RetryAllowance, boundsRepeatsOfAllDaemonsTogether)
{
    const ServiceId service("s");
    unsigned granted = 0;
    for (int daemon = 0; daemon < 7; ++daemon) {
        RetryAllowance allowance({0.2, 132, seconds(10)});
        allowance.setDaemons(7);
        for (int request = 0; request < 50; ++request) {
            allowance.addRequest(service, Start);
        }
        while (allowance.take(service, Start)) {
            ++granted;
        }
        EXPECT_FALSE(allowance.take(service, Start + seconds(9)));
        EXPECT_TRUE(allowance.take(service, Start + seconds(11)));
    }
    EXPECT_LE(granted, 0.2 * 350 + 132);
    EXPECT_GT(granted, 100U);
}

// Guards against work that goes to a full replica while another has room, and against one that is chosen because it is near.
TEST(BackendBook, choosesTheLeastLoadedTarget)
{
    std::mt19937_64 random(1);
    BackendBook book;
    const ServingTarget targets[] = {makeTarget("near", "a"), makeTarget("far", "b")};
    EXPECT_EQ(book.choose(targets, ZoneId("a"), {}, Start, random).target->server.str(), "near");
    for (int count = 0; count < 3; ++count) {
        book.begin(VmId("near"), nullptr);
    }
    EXPECT_EQ(book.choose(targets, ZoneId("a"), {}, Start, random).target->server.str(), "far");
}

// Guards against long prompts that queue up at one replica while another with as many requests has none to read: the first event of
// each would wait for all prompts before it.
TEST(BackendBook, promptsGoWhereTheFewestWaitToBeRead)
{
    std::mt19937_64 random(1);
    BackendBook book;
    ServingTarget targets[] = {makeTarget("x"), makeTarget("y")};
    targets[0].readTokensPerSecond = targets[1].readTokensPerSecond = 50000;
    FakeCall call;
    book.begin(VmId("x"), &call, 6000);
    book.begin(VmId("y"), &call, 500);
    EXPECT_EQ(book.choose(targets, ZoneId("a"), {}, Start, random).target->server.str(), "y");
    book.noteRead(VmId("x"), 6000);
    book.begin(VmId("y"), nullptr, 3000);
    EXPECT_EQ(book.choose(targets, ZoneId("a"), {}, Start, random).target->server.str(), "x");
}

// Guards against daemons that each see only their own requests and fill a replica that others have filled already.
TEST(BackendBook, countsRequestsOfPeers)
{
    std::mt19937_64 random(1);
    BackendBook book;
    const ServingTarget targets[] = {makeTarget("x"), makeTarget("y")};
    book.setPeerLoads(MemberId("p"), {{VmId("x"), 8, 0, false}}, Start);
    for (int round = 0; round < 20; ++round) {
        EXPECT_EQ(book.choose(targets, ZoneId("a"), {}, Start, random).target->server.str(), "y");
    }
    book.setPeerLoads(MemberId("p"), {{VmId("x"), 12, 0, false}, {VmId("y"), 12, 0, false}}, Start);
    const auto full = book.choose(targets, ZoneId("a"), {}, Start, random);
    EXPECT_EQ(full.target, nullptr);
    EXPECT_TRUE(full.isFull);
    // A stream that has begun elsewhere is not cut for want of a place.
    EXPECT_NE(book.choose(targets, ZoneId("a"), {}, Start, random, RequestStage::Begun).target, nullptr);
    book.tick(Start + seconds(3)); // the peer has been silent, its counts are dropped
    EXPECT_NE(book.choose(targets, ZoneId("a"), {}, Start, random).target, nullptr);
}

// Guards against callers that come back after a refusal and are refused once more: they give up then, while a first try comes back.
TEST(BackendBook, callersThatCameBackGetThePlacesThatNewOnesAreRefused)
{
    std::mt19937_64 random(1);
    BackendBook book;
    ServingTarget target = makeTarget("x");
    target.slots = 20;
    target.replica = ReplicaId("r1");
    book.setPeerLoads(MemberId("p"), {{VmId("x"), 22, 0, false}}, Start);
    const std::span<const ServingTarget> targets(&target, 1);
    EXPECT_TRUE(book.choose(targets, ZoneId("a"), {}, Start, random).isFull);
    EXPECT_NE(book.choose(targets, ZoneId("a"), {}, Start, random, RequestStage::Returned).target, nullptr);
    book.setPeerLoads(MemberId("p"), {{VmId("x"), 30, 0, false}}, Start);
    EXPECT_TRUE(book.choose(targets, ZoneId("a"), {}, Start, random, RequestStage::Returned).isFull);
}

// Guards against a replica that is slow to read long prompts and gets more of them while it has free slots: they would all be late.
TEST(BackendBook, promptsThatWaitToBeReadTakeUpRoom)
{
    std::mt19937_64 random(1);
    BackendBook book;
    ServingTarget target = makeTarget("x");
    target.slots = 20;
    target.replica = ReplicaId("r1");
    target.readTokensPerSecond = 50000;
    const std::span<const ServingTarget> targets(&target, 1);
    book.setPeerLoads(MemberId("p"), {{VmId("x"), 18, 5000, false}}, Start);
    EXPECT_NE(book.choose(targets, ZoneId("a"), {}, Start, random).target, nullptr);
    book.setPeerLoads(MemberId("p"), {{VmId("x"), 18, 60000, false}}, Start);
    EXPECT_TRUE(book.choose(targets, ZoneId("a"), {}, Start, random).isFull);
    EXPECT_NE(book.choose(targets, ZoneId("a"), {}, Start, random, RequestStage::Begun).target, nullptr) << "a stream would be cut";
}

// Guards against a stream that has begun and is cut because the fleet has more requests than room.
TEST(BackendBook, admitsThePartThatFitsButEveryStreamThatHasBegun)
{
    std::mt19937_64 random(1);
    BackendBook book;
    ServingTarget target = makeTarget("x");
    target.slots = 20;
    target.replica = ReplicaId("r1");
    const std::span<const ServingTarget> targets(&target, 1);
    book.setPeerLoads(MemberId("p"), {{VmId("x"), 17, 0, false}}, Start);
    const CountDrift drift{.begun = 20, .endedPart = 0};
    int admitted = 0;
    for (int round = 0; round < 1000; ++round) {
        admitted += book.choose(targets, ZoneId("a"), {}, Start, random, RequestStage::New, drift).target != nullptr ? 1 : 0;
        EXPECT_NE(book.choose(targets, ZoneId("a"), {}, Start, random, RequestStage::Begun, drift).target, nullptr);
    }
    EXPECT_NEAR(admitted, 250, 60);
}

// Guards against a replica whose streams all stand still and that goes on to get requests.
TEST(BackendBook, silenceOfAllStreamsMarksAServerAsStalled)
{
    std::mt19937_64 random(1);
    BackendBook book;
    FakeCall first;
    FakeCall second;
    book.begin(VmId("x"), &first);
    book.begin(VmId("x"), &second);
    auto now = Start;
    for (int tick = 0; tick < 7; ++tick) {
        book.tick(now += Tick);
    }
    EXPECT_EQ(first.moves, 0);
    book.noteProgress(VmId("x"));
    for (int tick = 0; tick < 8; ++tick) {
        book.tick(now += Tick);
    }
    EXPECT_EQ(first.moves + second.moves, 2);
    EXPECT_THAT(book.takeStalled(), ElementsAre(VmId("x")));
    const ServingTarget targets[] = {makeTarget("x")};
    EXPECT_EQ(book.choose(targets, ZoneId("a"), {}, now, random).target, nullptr);
}

// Guards against one daemon whose only stream waits in a queue and that takes the replica away from all others for seconds.
TEST(BackendBook, eventsAtAnotherDaemonDisproveAStall)
{
    std::mt19937_64 random(1);
    BackendBook book;
    FakeCall waiting;
    book.begin(VmId("x"), &waiting);
    auto now = Start;
    const ServingTarget targets[] = {makeTarget("x")};
    for (int tick = 0; tick < 16; ++tick) {
        book.setPeerLoads(MemberId("p"), {{VmId("x"), 2, 0, false, true}}, now);
        book.tick(now += Tick);
    }
    EXPECT_THAT(book.takeStalled(), IsEmpty());
    EXPECT_EQ(waiting.moves, 0);
    EXPECT_NE(book.choose(targets, ZoneId("a"), {}, now, random).target, nullptr);
    EXPECT_FALSE(book.ownLoads().front().isStalled);
    // Before its caller leaves, the stream is tried elsewhere, since the connection may be at fault.
    book.tick(now += Tick);
    EXPECT_EQ(waiting.moves, 1);
    EXPECT_THAT(book.takeStalled(), IsEmpty());
    // A peer that says the server is stalled is outvoted by one that gets events.
    book.setPeerLoads(MemberId("q"), {{VmId("x"), 1, 0, true, false}}, now);
    EXPECT_NE(book.choose(targets, ZoneId("a"), {}, now, random).target, nullptr);
    // Without events anywhere the server is stalled.
    book.setPeerLoads(MemberId("p"), {{VmId("x"), 2, 0, false, false}}, now);
    book.tick(now += Tick);
    EXPECT_EQ(book.choose(targets, ZoneId("a"), {}, now, random).target, nullptr);
    EXPECT_TRUE(book.ownLoads().front().isStalled);
}

// Guards against a daemon that was starved of processor time and takes its own delay for the silence of all servers.
TEST(BackendBook, lateTicksDoNotCountAsSilence)
{
    BackendBook book;
    FakeCall call;
    book.begin(VmId("x"), &call);
    auto now = Start;
    book.tick(now);
    for (int tick = 0; tick < 20; ++tick) {
        book.tick(now += 5 * Tick);
    }
    EXPECT_EQ(call.moves, 0);
}

TEST(BackendBook, stallsOfPeersAreReportedOnce)
{
    BackendBook book;
    book.setPeerLoads(MemberId("p"), {{VmId("x"), 1, 0, true}}, Start);
    book.setPeerLoads(MemberId("p"), {{VmId("x"), 1, 0, true}}, Start);
    EXPECT_THAT(book.takeStalled(), ElementsAre(VmId("x")));
}

TEST(BackendBook, failedServersAreAvoidedWhileOthersServe)
{
    std::mt19937_64 random(1);
    BackendBook book;
    const ServingTarget targets[] = {makeTarget("x"), makeTarget("y")};
    book.noteFailure(VmId("x"), Start);
    EXPECT_EQ(book.choose(targets, ZoneId("a"), {}, Start, random).target->server.str(), "y");
    const VmId excluded[] = {VmId("y")};
    EXPECT_EQ(book.choose(targets, ZoneId("a"), excluded, Start, random).target->server.str(), "x");
}

// Guards against servers that are dropped because their registrations lapsed while the store was away.
TEST(ServerRegistry, removalsAfterAFailureWaitForTheReturnOfServers)
{
    ServerRegistry registry;
    registry.replaceAll({{VmId("x"), makeServer("x")}, {VmId("y"), makeServer("y")}}, Start);
    EXPECT_TRUE(registry.takeChange(Start));
    registry.noteStoreFailure();
    registry.noteStoreAnswer(Start);
    registry.remove(VmId("x"), Start);
    registry.remove(VmId("y"), Start);
    EXPECT_FALSE(registry.takeChange(Start + seconds(1)));
    registry.set(makeServer("x"));
    EXPECT_TRUE(registry.takeChange(Start + milliseconds(2300)));
    EXPECT_TRUE(registry.servers().contains(VmId("x")));
    EXPECT_FALSE(registry.servers().contains(VmId("y")));
}

// Guards against a leaving server that is kept for longer than it serves: seconds after the store's return a removal counts at once.
TEST(ServerRegistry, laterRemovalsCountAtOnce)
{
    ServerRegistry registry;
    registry.replaceAll({{VmId("x"), makeServer("x")}}, Start);
    registry.noteStoreFailure();
    registry.noteStoreAnswer(Start);
    EXPECT_TRUE(registry.takeChange(Start));
    const auto later = Start + milliseconds(3400);
    registry.remove(VmId("x"), later);
    EXPECT_TRUE(registry.takeChange(later));
    EXPECT_THAT(registry.servers(), IsEmpty());
}

// Guards against a leaving server that is kept for too long by a gateway that follows a relay: its own last call failed, and it makes no
// other for seconds.
TEST(ServerRegistry, deferralsOfARelayEndWithIt)
{
    ServerRegistry registry;
    registry.replaceAll({{VmId("x"), makeServer("x")}}, Start);
    EXPECT_EQ(registry.unsettledTime(Start), Duration{});
    registry.deferUntil(Start + milliseconds(700));
    EXPECT_EQ(registry.unsettledTime(Start), milliseconds(700));
    registry.takeChange(Start);
    registry.remove(VmId("x"), Start);
    EXPECT_FALSE(registry.takeChange(Start + milliseconds(600)));
    EXPECT_TRUE(registry.takeChange(Start + milliseconds(800)));
    EXPECT_THAT(registry.servers(), IsEmpty());
}

// Guards against a replica that is torn down although its member is only cut off from the store, and against requests to a head whose
// registration is gone.
TEST(ServerRegistry, lapsedMembersStayKnownButHeadsDoNot)
{
    ServerRegistry registry;
    auto head = makeServer("head");
    head.membership = ReplicaMembership{ReplicaId("r"), 1, 0, MembershipState::Open};
    auto member = makeServer("member");
    member.membership = ReplicaMembership{ReplicaId("r"), 1, 1, MembershipState::Ready};
    registry.replaceAll({{head.id, head}, {member.id, member}}, Start);
    registry.remove(member.id, Start);
    EXPECT_TRUE(registry.takeChange(Start));
    ASSERT_TRUE(registry.servers().contains(member.id));
    EXPECT_TRUE(registry.servers().at(member.id).isUnlisted);
    registry.set(member);
    EXPECT_FALSE(registry.servers().at(member.id).isUnlisted);
    registry.remove(member.id, Start);
    registry.takeChange(Start + seconds(13));
    EXPECT_FALSE(registry.servers().contains(member.id));
    registry.remove(head.id, Start);
    EXPECT_FALSE(registry.servers().contains(head.id));
}

TEST(LoadReportCodec, readsBackWhatItWrote)
{
    const GatewayLoadReport report{MemberId("g"), 5, 6, {{VmId("x"), 7, 70, true, false}, {VmId("y"), 8, 0, false, true}}, 9};
    const auto decoded = decodeReport(encodeReport(report));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->gateway, report.gateway);
    EXPECT_EQ(decoded->process, 5U);
    EXPECT_EQ(decoded->sequence, 6U);
    EXPECT_EQ(decoded->requestsBegun, 9U);
    ASSERT_EQ(decoded->loads.size(), 2U);
    EXPECT_EQ(decoded->loads[0].requests, 7U);
    EXPECT_EQ(decoded->loads[0].unreadTokens, 70U);
    EXPECT_TRUE(decoded->loads[0].isStalled);
}

// Guards against a datagram from elsewhere that ends the process.
TEST(LoadReportCodec, refusesOtherBytes)
{
    EXPECT_FALSE(decodeReport({}));
    std::vector<std::byte> bytes(200, std::byte{0xAB});
    EXPECT_FALSE(decodeReport(bytes));
    auto valid = encodeReport({MemberId("g"), 1, 1, {{VmId("x"), 1, 0, false}}, 1});
    valid.resize(valid.size() / 2);
    EXPECT_FALSE(decodeReport(valid));
}

// Guards against a cost of load reports that grows with the fleet: in 80 daemons an ordinary one has two receivers.
TEST(RelayPlan, largeFleetsReportThroughTwoRelaysOfEachZone)
{
    std::vector<PeerGateway> all;
    all.reserve(80);
    for (int number = 0; number < 80; ++number) {
        all.push_back({MemberId("g" + std::to_string(number)), ZoneId("z" + std::to_string(number % 4)), {"10.0.0.1", static_cast<std::uint16_t>(number + 1)}});
    }
    unsigned relays = 0;
    for (const auto &self : all) {
        auto peers = all;
        std::erase(peers, self);
        const RelayPlan plan(self.id, self.zone, peers);
        EXPECT_FALSE(plan.isDirect());
        EXPECT_EQ(plan.reportReceivers().size(), plan.isRelay() ? 1U : 2U);
        EXPECT_EQ(plan.zonePeers().size(), plan.isRelay() ? 18U : 0U);
        EXPECT_EQ(plan.otherRelays().size(), 6U);
        relays += plan.isRelay() ? 1 : 0;
    }
    EXPECT_EQ(relays, 8U);
    const RelayPlan small(all[0].id, all[0].zone, std::span(all).subspan(1, 6));
    EXPECT_TRUE(small.isDirect());
    EXPECT_EQ(small.reportReceivers().size(), 6U);
}

TEST(RequestParser, readsNumbersAndKeys)
{
    EXPECT_EQ(parseNumber("12"), 12U);
    EXPECT_FALSE(parseNumber("12x"));
    EXPECT_FALSE(parseNumber("-1"));
    EXPECT_FALSE(parseNumber(""));
    EXPECT_EQ(keyOf("token abc", "Token"), "abc");
    EXPECT_EQ(keyOf("Bearer abc", "Token"), "");
    EXPECT_EQ(keyOf("Token", "Token"), "");
}

// Guards against a process that starts with half of its settings.
TEST(GatewaySettings, namesTheKeyThatIsMissingOrFaulty)
{
    const auto result = parseGatewaySettings("[process]\nid = g\nzone = a\n[listen]\ncallers = 127.0.0.1:1\nreadiness = 127.0.0.1:2\n"
                                             "metrics = 127.0.0.1:3\npeer = nowhere\nchanges = 127.0.0.1:6\n[store]\naddress = 127.0.0.1:5\n",
                                             "g.ini");
    ASSERT_EQ(result.faults.size(), 1U);
    EXPECT_THAT(result.faults.front().toString(), HasSubstr("g.ini:8: listen.peer"));
}

TEST(GatewaySettings, readsEveryKey)
{
    const auto result = parseGatewaySettings("[process]\nid = g\nzone = a\nmax_descriptors = 500\n[listen]\ncallers = 127.0.0.1:1\n"
                                             "readiness = 127.0.0.1:2\nmetrics = 127.0.0.1:3\npeer = 127.0.0.1:4\nchanges = 127.0.0.1:6\n[store]\n"
                                             "address = 127.0.0.1:5\n[serving]\ndrain_time = 8s\nstall_time = 6000ms\nretry_share = 0.3\n"
                                             "retry_slack = 77\nretry_window = 12s\n[log]\nlevel = debug\n",
                                             "g.ini");
    ASSERT_THAT(result.faults, IsEmpty());
    EXPECT_EQ(result.settings.maxDescriptors, 500U);
    EXPECT_EQ(result.settings.callers.port, 1);
    EXPECT_EQ(result.settings.readiness.port, 2);
    EXPECT_EQ(result.settings.metrics.port, 3);
    EXPECT_EQ(result.settings.peer.port, 4);
    EXPECT_EQ(result.settings.changes.port, 6);
    EXPECT_EQ(result.settings.store.port, 5);
    EXPECT_EQ(result.settings.drainTime, seconds(8));
    EXPECT_EQ(result.settings.stallTime, seconds(6));
    EXPECT_EQ(result.settings.retryShare, 0.3);
    EXPECT_EQ(result.settings.retrySlack, 77);
    EXPECT_EQ(result.settings.retryWindow, seconds(12));
    EXPECT_EQ(result.settings.logLevel, "debug");
}

}
