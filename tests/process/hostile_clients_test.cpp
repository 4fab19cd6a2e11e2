#include "tests/process/caller_crowd.h"
#include "tests/process/gateway_process_fixture.h"

// Callers outside the limits, a crowd of one kind at a time. Each test guards against a gateway that runs out of memory or descriptors, or that
// serves nobody else afterwards. The crowd stays connected while the checks run.

namespace carawaypoint
{

namespace
{

constexpr std::size_t Megabyte = std::size_t{1024} * 1024;
constexpr std::string_view Chunked = "Transfer-Encoding: chunked\r\n\r\n";

std::string chunk(std::size_t bytes)
{
    char size[17] = {};
    std::snprintf(size, sizeof(size), "%zx\r\n", bytes);
    return size + std::string(bytes, 'x') + "\r\n";
}

}

class HostileClients : public GatewayProcessTest
{
protected:
    /// Bytes of a body that stops just short of its end.
    static constexpr std::size_t UnfinishedBytes = MaxBodyBytes - 60'000;

    std::string chunkedHead()
    {
        return requestHead() + std::string(Chunked);
    }
    /// A request with as many short header fields as the limit allows before @p end.
    std::string largestHead(const std::string &end)
    {
        std::string head = requestHead();
        while (head.size() + end.size() + 5 < MaxHeaderBytes) {
            head += "a:\r\n";
        }
        return head + end;
    }
    void runCrowd(unsigned count, const CrowdScript &script)
    {
        const CallerCrowd crowd(callers(), count, script);
        expectOrdinaryService();
    }
};

TEST_F(HostileClients, HeaderFieldsWithoutEnd)
{
    // Reads of 512 bytes then end just after the first byte of a field, so that a parser keeps all fields before it and the limit of the header
    // does not end the wait for the rest.
    constexpr std::size_t ReadBytes = 512;
    std::string head = requestHead() + "padding: ";
    head.resize(ReadBytes - 3, 'x');
    runCrowd(40, {.head = head + "\r\na", .piece = "bc: d\r\na", .bytes = Megabyte});
}

TEST_F(HostileClients, HeaderLineWithoutEnd)
{
    runCrowd(40, {.head = requestHead() + "a: ", .piece = "b", .bytes = 4 * Megabyte});
}

TEST_F(HostileClients, RequestLineWithoutEnd)
{
    runCrowd(40, {.head = "POST /", .piece = "b", .bytes = 4 * Megabyte});
}

TEST_F(HostileClients, ManyShortHeaderFieldsBeforeAnUnfinishedBody)
{
    runCrowd(400, {.head = largestHead("Content-Length: 1000\r\n\r\n"), .piece = "x", .bytes = 900});
}

TEST_F(HostileClients, TrailerFieldsWithoutEnd)
{
    runCrowd(40, {.head = chunkedHead() + "5\r\nhello\r\n0\r\n", .piece = "a: b\r\n", .bytes = 4 * Megabyte});
}

TEST_F(HostileClients, TrailerLineWithoutEnd)
{
    runCrowd(40, {.head = chunkedHead() + "5\r\nhello\r\n0\r\na: ", .piece = "b", .bytes = 4 * Megabyte});
}

TEST_F(HostileClients, ChunkExtensionWithoutEnd)
{
    runCrowd(40, {.head = chunkedHead() + "5;a=", .piece = "b", .bytes = 4 * Megabyte});
}

TEST_F(HostileClients, ChunkSizeWithoutEnd)
{
    runCrowd(40, {.head = chunkedHead(), .piece = "0", .bytes = 4 * Megabyte});
}

TEST_F(HostileClients, EmptyBodyWhoseLastChunkArrivesInParts)
{
    // Beast's parser ends the process by an assertion when it is called between these bytes.
    runCrowd(4, {.head = chunkedHead() + "0\r\n", .piece = "\r", .bytes = 1, .pause = std::chrono::milliseconds(100)});
}

TEST_F(HostileClients, BodiesWithLengthLeftOpen)
{
    const auto head = requestHead() + "Content-Length: " + std::to_string(MaxBodyBytes) + "\r\n\r\n";
    runCrowd(100, {.head = head, .piece = "x", .bytes = UnfinishedBytes});
}

TEST_F(HostileClients, BodiesInOneChunkLeftOpen)
{
    runCrowd(100, {.head = chunkedHead() + "100000\r\n", .piece = "x", .bytes = UnfinishedBytes});
}

TEST_F(HostileClients, BodiesInSmallChunksLeftOpen)
{
    runCrowd(100, {.head = chunkedHead(), .piece = chunk(4000), .bytes = UnfinishedBytes});
}

TEST_F(HostileClients, BodiesInChunksOfOneByteLeftOpen)
{
    // Six bytes are sent for one byte of the body.
    runCrowd(100, {.head = chunkedHead(), .piece = chunk(1), .bytes = 6 * UnfinishedBytes});
}

TEST_F(HostileClients, BodiesOverTheLimitAnnounced)
{
    const auto head = requestHead() + "Content-Length: 1000000000\r\n\r\n";
    runCrowd(100, {.head = head, .piece = "x", .bytes = 4 * Megabyte});
}

TEST_F(HostileClients, ChunksOverTheLimitAnnounced)
{
    runCrowd(100, {.head = chunkedHead() + "40000000\r\n", .piece = "x", .bytes = 4 * Megabyte});
}

TEST_F(HostileClients, BodiesOverTheLimitSentInChunks)
{
    runCrowd(100, {.head = chunkedHead(), .piece = chunk(60'000), .bytes = 4 * Megabyte});
}

TEST_F(HostileClients, RequestsAfterOneThatWaitsForItsAnswer)
{
    const auto head = requestHead("/r/large") + "Content-Length: 0\r\n\r\n";
    runCrowd(300, {.head = head, .piece = head, .bytes = Megabyte, .readsAnswers = false});
}

TEST_F(HostileClients, LargeAnswersUnread)
{
    runCrowd(150, {.head = requestHead("/r/large") + "Content-Length: 0\r\n\r\n", .readsAnswers = false});
}

TEST_F(HostileClients, ConnectionsBeyondTheDescriptors)
{
    // Connections whose requests have begun do not count as idle when the next ones arrive.
    const CallerCrowd first(callers(), 300, {.head = requestHead()});
    const CallerCrowd second(callers(), 300, {.head = requestHead()});
    expectOrdinaryService();
    runCrowd(300, {.head = requestHead()});
}

TEST_F(HostileClients, LargestBodyIsServedInCalm)
{
    const std::string body(MaxBodyBytes, 'x');
    std::string inChunks;
    for (std::size_t sent = 0; sent < MaxBodyBytes; sent += 4096) {
        inChunks += chunk(4096);
    }
    std::string inBytes;
    for (std::size_t sent = 0; sent < MaxBodyBytes; ++sent) {
        inBytes += chunk(1);
    }
    const std::string requests[] = {
        requestHead() + "Content-Length: " + std::to_string(MaxBodyBytes) + "\r\n\r\n" + body,
        chunkedHead() + chunk(MaxBodyBytes) + "0\r\n\r\n",
        chunkedHead() + inChunks + "0\r\na: b\r\n\r\n",
        chunkedHead() + inBytes + "0\r\n\r\n",
    };
    for (const auto &request : requests) {
        std::string answer;
        EXPECT_EQ(exchange(request, answer), 200U);
        EXPECT_EQ(answer, "read " + std::to_string(MaxBodyBytes));
    }
    expectOrdinaryService();
}

TEST_F(HostileClients, LargestHeaderIsServedInCalm)
{
    std::string answer;
    EXPECT_EQ(exchange(largestHead("Content-Length: 5\r\n\r\nhello"), answer), 200U);
    expectOrdinaryService();
}

}
