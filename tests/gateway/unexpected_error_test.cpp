// Tests that one malformed message or unexpected error ends neither the process nor the processing of later messages.

#include "core/memory_budget.h"
#include "gateway/change_notice.h"
#include "gateway/datagrams.h"
#include "gateway/load_report_codec.h"
#include "gateway/run_loop.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

#include <random>
#include <stdexcept>

namespace carawaypoint
{

namespace
{

constexpr std::uint64_t FuzzSeed = 20261204;
constexpr unsigned FuzzRounds = 4000;

/// Replaces, removes or inserts a few bytes.
std::vector<std::byte> corrupt(std::vector<std::byte> bytes, std::mt19937_64 &random)
{
    const unsigned changes = 1 + random() % 4;
    for (unsigned change = 0; change < changes && !bytes.empty(); ++change) {
        const auto position = static_cast<std::ptrdiff_t>(random() % bytes.size());
        const auto value = static_cast<std::byte>(random());
        switch (random() % 4) {
        case 0:
            bytes.erase(bytes.begin() + position);
            break;
        case 1:
            bytes.insert(bytes.begin() + position, value);
            break;
        case 2:
            bytes.resize(static_cast<std::size_t>(position));
            break;
        default:
            bytes[static_cast<std::size_t>(position)] = value;
        }
    }
    return bytes;
}

ChangeNotice sampleNotice()
{
    ChangeNotice notice;
    notice.fromRevision = 7;
    notice.toRevision = 12;
    notice.configVersion = 3;
    for (unsigned number = 0; number < 20; ++number) {
        ObjectEvent event;
        event.object.name = "server-" + std::to_string(number);
        event.object.version = 8 + number;
        event.object.value = R"({"service":"drafting","state":"ready"})";
        notice.changes.push_back(event);
    }
    return notice;
}

}

// Guards against a gateway that ignores its peers after one message that it could not process.
TEST(UnexpectedError, datagramsAfterAFailedOneAreProcessed)
{
    boost::asio::io_context io;
    boost::asio::ip::udp::socket receiver(io);
    boost::asio::ip::udp::socket sender(io);
    ASSERT_FALSE(openDatagramSocket(receiver, {"127.0.0.1", 0}));
    ASSERT_FALSE(openDatagramSocket(sender, {"127.0.0.1", 0}));
    unsigned received = 0;
    boost::asio::co_spawn(io,
                          receiveDatagrams(receiver, 100,
                                           [&received](std::span<const std::byte>, const Endpoint &) {
                                               if (++received == 1) {
                                                   throw std::length_error("malformed");
                                               }
                                           }),
                          boost::asio::detached);
    const std::vector<std::byte> bytes(4);
    for (unsigned count = 0; count < 3; ++count) {
        sendDatagram(sender, bytes, {"127.0.0.1", receiver.local_endpoint().port()});
    }
    io.run_for(std::chrono::milliseconds(200));
    EXPECT_EQ(received, 3U);
}

// Guards against a process that ends because one of its handlers throws.
TEST(UnexpectedError, handlersAfterAFailedOneAreRun)
{
    boost::asio::io_context io;
    unsigned handled = 0;
    boost::asio::post(io, [] { throw std::runtime_error("unexpected"); });
    boost::asio::post(io, [&handled] { ++handled; });
    runLoop(io, "test");
    EXPECT_EQ(handled, 1U);
}

// Guards against a decoder that throws, crashes or does not return for corrupted datagrams.
TEST(UnexpectedError, corruptedDatagramsAreRejectedOrDecoded)
{
    std::mt19937_64 random(FuzzSeed);
    GatewayLoadReport report;
    report.gateway = MemberId("gateway-1");
    for (unsigned number = 0; number < 20; ++number) {
        report.loads.push_back({VmId("server-" + std::to_string(number)), number, number * 100});
    }
    report.unmet.push_back({{ServiceId("drafting"), ModelId("m")}, 3.5});
    report.crashEvidence.push_back({7, {{8, milliseconds(100), false}, {9, milliseconds(50), true}}});
    const auto reportBytes = encodeReport(report);
    const auto noticeBytes = encodeNotice(sampleNotice()).front();
    const auto requestBytes = encodeRequest({5, 6});
    for (unsigned round = 0; round < FuzzRounds; ++round) {
        EXPECT_NO_THROW(decodeReport(corrupt(reportBytes, random)));
        EXPECT_NO_THROW(decodeChangeMessage(corrupt(noticeBytes, random)));
        EXPECT_NO_THROW(decodeChangeMessage(corrupt(requestBytes, random)));
    }
}

// Guards against responses that together use more memory than a small VM has.
TEST(MemoryBudget, limitsAllReservationsTogether)
{
    MemoryBudget budget(100);
    MemoryBudget::Reservation first(budget);
    {
        MemoryBudget::Reservation second(budget);
        EXPECT_TRUE(first.resize(60));
        EXPECT_FALSE(second.resize(41));
        EXPECT_TRUE(second.resize(40));
        EXPECT_FALSE(first.resize(61));
        EXPECT_EQ(budget.used(), 100U);
    }
    EXPECT_EQ(budget.used(), 60U);
    EXPECT_TRUE(first.resize(100));
    EXPECT_TRUE(first.resize(0));
    EXPECT_EQ(budget.used(), 0U);
}

}
