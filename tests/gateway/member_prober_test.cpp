// Tests when a member of a replica counts as lost.

#include "gateway/member_prober.h"

#include <gtest/gtest.h>

#include <utility>
#include <vector>

namespace carawaypoint
{

namespace
{

/// Keeps the probes for the test to answer.
class ProbedServers : public OrderClient
{
public:
    void send(const ReplicaOrder &, Handler) override
    {
        FAIL() << "a prober sends no orders";
    }
    void probe(const VmId &server, const Endpoint &, ProbeHandler handler) override
    {
        servers.push_back(server);
        handlers_.push_back(std::move(handler));
    }
    void answerLast(bool isAnswered)
    {
        // The handler may send the next probe.
        const auto handler = handlers_.back();
        handler({.isAnswered = isAnswered});
    }

    std::vector<VmId> servers;

private:
    std::vector<ProbeHandler> handlers_;
};

class MemberProberTest : public testing::Test
{
protected:
    void probe(const std::string &server, std::uint64_t startedAt = 7)
    {
        prober_.probe(VmId(server), {"10.0.0.1", 80}, startedAt, "its replica is stalled");
    }

    using Loss = std::pair<VmId, std::uint64_t>;
    ProbedServers probed_;
    std::vector<Loss> losses_;
    MemberProber prober_{probed_, [this](const VmId &server, std::uint64_t startedAt) {
                             losses_.emplace_back(server, startedAt);
                         }};
};

}

// Guards against a replica that stays stalled because nobody finds out that a member is lost.
TEST_F(MemberProberTest, memberThatDoesNotAnswerIsLost)
{
    probe("a");
    probed_.answerLast(false);
    EXPECT_EQ(losses_, std::vector<Loss>({{VmId("a"), 7}}));
}

// Guards against members without a connection to the store that are asked at each decision of the controller.
TEST_F(MemberProberTest, lapsedMembersAreProbedAtIntervals)
{
    BackendServer lapsed;
    lapsed.id = VmId("a");
    lapsed.isRegistrationLapsed = true;
    BackendServer registered;
    registered.id = VmId("b");
    ServerMap servers{{lapsed.id, lapsed}, {registered.id, registered}};
    const TimePoint start{hours(1)};
    prober_.probeLapsed(servers, start);
    probed_.answerLast(true);
    prober_.probeLapsed(servers, start + milliseconds(1900));
    EXPECT_EQ(probed_.servers, std::vector<VmId>({VmId("a")}));
    prober_.probeLapsed(servers, start + seconds(2));
    EXPECT_EQ(probed_.servers.size(), 2U);
    // A server that registers again and lapses once more is asked at once.
    probed_.answerLast(true);
    servers[lapsed.id].isRegistrationLapsed = false;
    prober_.probeLapsed(servers, start + milliseconds(2100));
    servers[lapsed.id].isRegistrationLapsed = true;
    prober_.probeLapsed(servers, start + milliseconds(2200));
    EXPECT_EQ(probed_.servers.size(), 3U);
}

}
