#include "gateway/member_prober.h"

#include "observe/log.h"

#include <utility>

namespace carawaypoint
{

namespace
{

constexpr Duration LapsedProbeInterval = seconds(2);

}

MemberProber::MemberProber(OrderClient &orders, LossHandler onLost)
    : orders_(orders)
    , onLost_(std::move(onLost))
{
}

void MemberProber::probe(const VmId &server, const Endpoint &address, std::uint64_t startedAt, std::string_view reason)
{
    orders_.probe(server, address, [this, server, startedAt, reason](const ProbeAnswer &answer) {
        logDecision("placement", server.str(), answer.isAnswered ? "answered" : "silent", reason, {{"pace", answer.pace}});
        if (!answer.isAnswered) {
            onLost_(server, startedAt);
        }
    });
}

void MemberProber::probeLapsed(const ServerMap &servers, TimePoint now)
{
    std::erase_if(lapsedProbeAt_, [&servers](const auto &entry) {
        const auto found = servers.find(entry.first);
        return found == servers.end() || !found->second.isRegistrationLapsed;
    });
    for (const auto &[id, server] : servers) {
        if (!server.isRegistrationLapsed) {
            continue;
        }
        const auto [entry, isNew] = lapsedProbeAt_.emplace(id, now);
        if (isNew || now - entry->second >= LapsedProbeInterval) {
            entry->second = now;
            probe(id, server.address, server.startedAt, "its registration lapsed");
        }
    }
}

}
