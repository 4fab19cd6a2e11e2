#pragma once

#include "membership/configuration_agent.h"
#include "membership/member_table.h"
#include "membership/peer_calls.h"
#include "objects/object_store.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <vector>

namespace carawaypoint
{

struct MembershipAgentOptions {
    MemberTableOptions table;
    MemberRecord self;
    std::vector<Endpoint> seeds; // from the settings
    Duration seedInterval = seconds(30); // between two reads of the platform's list `members/<zone>`
    std::uint64_t randomSeed = 0;
};

/// Callbacks of the daemon, called on the control thread. Empty ones are not called.
struct MembershipCallbacks {
    std::function<void()> onChange; // members, roles or observations changed; at most once per tick
    std::function<void(const PeerSignal &)> onSignal;
    std::function<void(std::string service, std::string key, std::string token, std::function<void(RelinquishOutcome)>)> onRelinquishClaim;
    std::function<void(DomainKey, std::uint64_t epoch, std::function<void(bool)>)> onConfirmNoOrdersInFlight;
    std::function<SharedAssignment(const std::vector<RecordStamp> &known)> onFetchAssignment;
};

/// Runs the member table with timers and peer calls, on the control thread.
///
/// Order of construction: agent, PeerService with the agent as its handler, start(). Stop the service before the agent is
/// destroyed.
class MembershipAgent : public PeerRequestHandler
{
public:
    MembershipAgent(const boost::asio::any_io_executor &control,
                    const Clock &clock,
                    ObjectStore &store,
                    ConfigurationAgent &configuration,
                    MembershipAgentOptions options,
                    MembershipCallbacks callbacks);
    ~MembershipAgent() override;

    void start(PeerCalls &calls);
    /// Tells peers that this daemon stops. Call it a few hundred milliseconds before the peer service stops.
    void leave();

    /// The member table, for reading and for setters that MembershipAgent does not wrap. An urgent change that is set through it
    /// is sent with the next tick or exchange.
    MemberTable &table();
    /// Whether this daemon is current and has a configuration.
    bool isReady();
    /// The member with @p id as a target for PeerCalls; the target's id is empty when the member is unknown.
    PeerTarget target(const MemberId &id) const;

    void setObservation(const VmId &vm, const ServerState &state);
    /// Sent at once to all members of the zone, and to the other zones with the exchanges.
    void reportCrashSuspect(const std::string &fingerprint, std::uint64_t weightThousandths);
    /// Sent in the same way as a crash suspect.
    void reportLeaving(const VmId &vm);

    PeerMessage onExchange(const PeerMessage &message) override;
    ConfigurationText onFetchConfig() override;
    void onRelinquishClaim(std::string service, std::string key, std::string token, std::function<void(RelinquishOutcome)> answer) override;
    void onConfirmNoOrdersInFlight(DomainKey domain, std::uint64_t epoch, std::function<void(bool)> answer) override;
    void onSignals(std::vector<PeerSignal> signals) override;
    SharedAssignment onFetchAssignment(const std::vector<RecordStamp> &known) override;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

}
