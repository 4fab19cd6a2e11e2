#include "core/result_code.h"
#include "protocol/peer_service.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <optional>

namespace carawaypoint
{

namespace
{

using boost::asio::ip::tcp;

MemberRecord record(std::string id, std::uint64_t process)
{
    return {MemberId(std::move(id)), ZoneId("z1"), {"127.0.0.1", 1}, process, 0, MemberStatus::Alive, 3, 9};
}

class Handler : public PeerRequestHandler
{
public:
    PeerMessage onExchange(const PeerMessage &message) override
    {
        ++exchanges;
        PeerMessage reply;
        reply.sender = record("server", 7);
        reply.platformRevision = message.platformRevision + 1;
        return reply;
    }
    ConfigurationText onFetchConfig() override
    {
        return {3, 9, std::string(textBytes, 'x')};
    }
    void onRelinquishClaim(std::string service, std::string key, std::string token, std::function<void(RelinquishOutcome)> answer) override
    {
        claim = service + "/" + key + "/" + token;
        if (isAnswering) {
            answer(RelinquishOutcome::Relinquished);
        }
    }
    void onConfirmNoOrdersInFlight(DomainKey domain, std::uint64_t epoch, std::function<void(bool)> answer) override
    {
        answer(domain.objectName() == "z1.d1" && epoch == 4);
    }
    void onSignals(std::vector<PeerSignal> received) override
    {
        signals = std::move(received);
    }
    SharedAssignment onFetchAssignment(const std::vector<RecordStamp> &known) override
    {
        stamps = known;
        const VmRecord vm{VmId("vm1"), {"127.0.0.1", 9}, ZoneId("z1"), FabricDomainId("d1"), "accelerators", true};
        return {{"a record", std::string(10'000, 'r')}, {vm}};
    }

    int exchanges = 0;
    std::size_t textBytes = 900'000;
    bool isAnswering = true;
    std::string claim;
    std::vector<PeerSignal> signals;
    std::vector<RecordStamp> stamps;
};

class PeerServiceTest : public testing::Test
{
protected:
    PeerServiceTest()
        : server_(io_.get_executor(), options(), serverHandler_, 7)
        , client_(io_.get_executor(), options(), clientHandler_, 8)
    {
        EXPECT_FALSE(server_.start({"127.0.0.1", 0}));
        EXPECT_FALSE(client_.start({"127.0.0.1", 0}));
    }

    static PeerServiceOptions options()
    {
        PeerServiceOptions options;
        options.maxServerConnections = 4;
        return options;
    }

    PeerTarget target(std::uint64_t process = 7) const
    {
        return {MemberId("server"), process, server_.localEndpoint()};
    }

    /// Runs the control executor until @p isDone; fails the test after 20 s.
    void runUntil(const std::function<bool()> &isDone)
    {
        boost::asio::steady_timer guard(io_, std::chrono::seconds(20));
        bool isExpired = false;
        guard.async_wait([&](auto error) { isExpired = !error; });
        while (!isDone() && !isExpired) {
            io_.run_one();
        }
        EXPECT_FALSE(isExpired);
        guard.cancel();
        io_.restart();
    }

    PeerReply exchangeWith(const PeerTarget &target, PeerMessage message)
    {
        std::optional<PeerReply> reply;
        client_.exchange(target, std::move(message), [&](PeerReply received, PeerMessage body) {
            reply = received;
            lastMessage_ = std::move(body);
        });
        runUntil([&] { return reply.has_value(); });
        return *reply;
    }

    PeerMessage message()
    {
        PeerMessage message;
        message.sender = record("client", 8);
        message.platformRevision = 41;
        return message;
    }

    boost::asio::io_context io_;
    Handler serverHandler_;
    Handler clientHandler_;
    PeerService server_;
    PeerService client_;
    PeerMessage lastMessage_;
};

// Guards against parameters or results of a call that are lost or mixed up in the conversion.
TEST_F(PeerServiceTest, carriesEveryCall)
{
    const auto reply = exchangeWith(target(), message());
    EXPECT_FALSE(reply.error);
    EXPECT_EQ(reply.process, 7U);
    EXPECT_FALSE(reply.isOtherProcess);
    EXPECT_EQ(lastMessage_.platformRevision, 42U);
    EXPECT_EQ(lastMessage_.sender, record("server", 7));

    int done = 0;
    client_.fetchConfig(target(), [&](PeerReply received, const ConfigurationText &text) {
        EXPECT_FALSE(received.error);
        EXPECT_EQ(text.generation, 3U);
        EXPECT_EQ(text.text.size(), 900'000U);
        ++done;
    });
    client_.relinquishClaim(target(), "booking", "k1", "t1", [&](PeerReply received, RelinquishOutcome outcome) {
        EXPECT_FALSE(received.error);
        EXPECT_EQ(outcome, RelinquishOutcome::Relinquished);
        ++done;
    });
    client_.confirmNoOrdersInFlight(target(), {ZoneId("z1"), FabricDomainId("d1")}, 4, [&](PeerReply received, bool isConfirmed) {
        EXPECT_FALSE(received.error);
        EXPECT_TRUE(isConfirmed);
        ++done;
    });
    client_.reportSignals(target(), {{PeerSignal::Kind::CrashSuspect, "fp", 500}}, [&](PeerReply received) {
        EXPECT_FALSE(received.error);
        ++done;
    });
    runUntil([&] { return done == 4 && !serverHandler_.signals.empty(); });
    EXPECT_EQ(serverHandler_.claim, "booking/k1/t1");
    EXPECT_EQ(serverHandler_.signals.front().subject, "fp");
}

// Guards against domain records or VMs that are truncated or mixed up in transfer. A zone cut off from the platform acts on them.
TEST_F(PeerServiceTest, fetchesTheAssignment)
{
    bool isDone = false;
    client_.fetchAssignment(target(), {{"z1.d1", 4, 77}}, [&](PeerReply reply, const SharedAssignment &assignment) {
        EXPECT_FALSE(reply.error);
        ASSERT_EQ(assignment.records.size(), 2U);
        EXPECT_EQ(assignment.records[1], std::string(10'000, 'r'));
        ASSERT_EQ(assignment.vms.size(), 1U);
        EXPECT_EQ(assignment.vms[0].address.toString(), "127.0.0.1:9");
        EXPECT_TRUE(assignment.vms[0].isLeaving);
        isDone = true;
    });
    runUntil([&] { return isDone; });
    ASSERT_EQ(serverHandler_.stamps.size(), 1U);
    EXPECT_EQ(serverHandler_.stamps[0].sequence, 77U);
}

// Guards against accepting the answer of a restarted process in place of the expected one: it would confirm that no orders are in
// flight although those of the former process may be.
TEST_F(PeerServiceTest, detectsAnotherProcess)
{
    EXPECT_TRUE(exchangeWith(target(6), message()).isOtherProcess);
    int done = 0;
    client_.relinquishClaim(target(6), "booking", "k1", "t1", [&](PeerReply reply, RelinquishOutcome) {
        EXPECT_TRUE(reply.isOtherProcess);
        ++done;
    });
    client_.confirmNoOrdersInFlight(target(6), {ZoneId("z1"), FabricDomainId("d1")}, 4, [&](PeerReply reply, bool isConfirmed) {
        EXPECT_TRUE(reply.isOtherProcess);
        EXPECT_FALSE(isConfirmed);
        ++done;
    });
    runUntil([&] { return done == 2; });
    EXPECT_EQ(serverHandler_.claim, ""); // the call was not run
}

// Guards against malformed calls that crash the process, reach the handler or are not counted.
TEST_F(PeerServiceTest, refusesMalformedMessages)
{
    struct Case {
        const char *name;
        std::function<void(PeerMessage &)> corrupt;
    };
    const Case cases[] = {
        {"no sender id",
         [](auto &m) {
             m.sender.id = MemberId();
         }},
        {"no process",
         [](auto &m) {
             m.sender.process = 0;
         }},
        {"bad address",
         [](auto &m) {
             m.sender.address = {};
         }},
        {"status out of range",
         [](auto &m) {
             m.sender.status = static_cast<MemberStatus>(9);
         }},
        {"too many members",
         [](auto &m) {
             m.members.assign(MaxDeltaEntries + 1, record("x", 1));
         }},
        {"too many entries",
         [](auto &m) {
             m.deltas.push_back({1, 0, 0, 1, std::vector<StateEntry>(MaxDeltaEntries + 1)});
         }},
        {"entry kind out of range",
         [](auto &m) {
             StateEntry entry;
             entry.kind = static_cast<EntryKind>(EntryKindCount);
             m.deltas.push_back({1, 0, 0, 1, {entry}});
         }},
        {"text too long",
         [](auto &m) {
             m.sender.zone = ZoneId(std::string(2000, 'z'));
         }},
    };
    std::uint64_t count = 0;
    for (const auto &[name, corrupt] : cases) {
        auto corrupted = message();
        corrupt(corrupted);
        EXPECT_EQ(exchangeWith(target(), corrupted).error, ResultCode::PeerMalformed) << name;
        EXPECT_EQ(server_.counters().malformedMessages, ++count) << name;
    }
    EXPECT_EQ(serverHandler_.exchanges, 0);
    EXPECT_FALSE(exchangeWith(target(), message()).error);
}

// Guards against a crash or excessive memory use by bytes that are no valid messages.
TEST_F(PeerServiceTest, survivesInvalidBytes)
{
    const std::string inputs[] = {
        std::string(64, '\xff'), // 2^32 segments
        std::string("\0\0\0\0\xff\xff\xff\x7f", 8), // a segment of 16 GB
        std::string("GET / HTTP/1.1\r\n\r\n"), std::string("\0\0\0\0\x01\0\0\0\xff\xff\xff\xff\xff\xff\xff\xff", 16), // a pointer out of bounds
    };
    for (const auto &input : inputs) {
        tcp::socket socket(io_);
        socket.connect({boost::asio::ip::make_address("127.0.0.1"), server_.localEndpoint().port});
        char buffer[256];
        boost::system::error_code error; // the server may close before all is written
        boost::asio::write(socket, boost::asio::buffer(input), error);
        socket.shutdown(tcp::socket::shutdown_send, error);
        error = {};
        while (!error) { // until the server closes
            socket.read_some(boost::asio::buffer(buffer), error);
        }
        EXPECT_FALSE(exchangeWith(target(), message()).error);
    }
    EXPECT_GE(server_.counters().malformedMessages, 2U);
}

// Guards against calls that never end: an unresponsive peer, a closed port and a handler that does not answer must lead to
// PeerUnavailable.
TEST_F(PeerServiceTest, reportsPeersThatDoNotAnswer)
{
    tcp::acceptor unresponsive(io_, {boost::asio::ip::make_address("127.0.0.1"), 0}); // accepts in the kernel, never reads
    EXPECT_EQ(exchangeWith({MemberId("x"), 1, {"127.0.0.1", unresponsive.local_endpoint().port()}}, message()).error, ResultCode::PeerUnavailable);
    const auto closedPort = unresponsive.local_endpoint().port();
    unresponsive.close();
    EXPECT_EQ(exchangeWith({MemberId("x"), 1, {"127.0.0.1", closedPort}}, message()).error, ResultCode::PeerUnavailable);

    serverHandler_.isAnswering = false;
    std::optional<PeerReply> reply;
    client_.relinquishClaim(target(), "s", "k", "t", [&](PeerReply received, RelinquishOutcome) { reply = received; });
    runUntil([&] { return reply.has_value(); });
    EXPECT_EQ(reply->error, ResultCode::PeerUnavailable);
    EXPECT_FALSE(exchangeWith(target(), message()).error); // on a new connection
}

// Guards against a client that keeps using a connection to a process that has ended.
TEST_F(PeerServiceTest, reconnectsToARestartedPeer)
{
    EXPECT_FALSE(exchangeWith(target(), message()).error);
    const auto address = server_.localEndpoint();
    server_.stop();
    EXPECT_EQ(exchangeWith({MemberId("server"), 7, address}, message()).error, ResultCode::PeerUnavailable);
    PeerService restarted(io_.get_executor(), options(), serverHandler_, 9);
    ASSERT_FALSE(restarted.start(address));
    const auto reply = exchangeWith({MemberId("server"), 7, address}, message());
    EXPECT_FALSE(reply.error);
    EXPECT_TRUE(reply.isOtherProcess);
}

// Guards against an unlimited number of connections: those over maxServerConnections must be closed and counted.
TEST_F(PeerServiceTest, refusesConnectionsOverTheLimit)
{
    std::vector<tcp::socket> sockets;
    for (int i = 0; i < 8; ++i) {
        sockets.emplace_back(io_);
        sockets.back().connect({boost::asio::ip::make_address("127.0.0.1"), server_.localEndpoint().port});
    }
    char byte = 0;
    boost::system::error_code error;
    sockets.back().read_some(boost::asio::buffer(&byte, 1), error); // returns when the server closes it
    EXPECT_TRUE(error);
    EXPECT_EQ(server_.counters().refusedConnections, 4U);
}

// Guards against a start() that reports success for an address that cannot be used.
TEST_F(PeerServiceTest, reportsAnAddressInUse)
{
    PeerService other(io_.get_executor(), options(), serverHandler_, 9);
    EXPECT_TRUE(other.start({"192.0.2.1", 9}));
}

}

}
