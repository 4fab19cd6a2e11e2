#pragma once

#include "core/result_code.h"
#include "membership/member_table.h"
#include "objects/object_store.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace carawaypoint
{

/// A generation of the configuration. This package does not interpret the text.
struct ConfigurationText {
    std::uint64_t generation = 0; // 0: no configuration
    std::uint64_t digest = 0;
    std::string text;
};

/// Outcome of a call to a peer.
struct PeerReply {
    std::error_code error; // PeerUnavailable: no response; PeerMalformed: one side could not parse the message
    std::uint64_t process = 0; // incarnation of the process that responded; 0 without a response
    bool isOtherProcess = false; // a process other than PeerTarget::process responded, so the expected one has ended
};

/// Identifies the copy of a domain record that a daemon has.
struct RecordStamp {
    std::string name; // of the domain's object
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
};

/// Assignment state that a daemon fetches from a peer while the platform is unreachable.
struct SharedAssignment {
    std::vector<std::string> records; // JSON texts of the domain records that are newer than the caller's copies
    std::vector<VmRecord> vms; // the platform's VM list as the peer last read it
};

enum class RelinquishOutcome : std::uint8_t {
    Relinquished, // the call was not dispatched under the claim and will not be
    Dispatched, // the call was sent or may have been sent
    NotHeld, // this process does not hold the claim with that token
};

/// Calls to other daemons. Each handler is called on the control thread, exactly once, after the call has returned.
class PeerCalls
{
public:
    using ExchangeHandler = std::function<void(PeerReply, PeerMessage)>;
    using ConfigurationHandler = std::function<void(PeerReply, ConfigurationText)>;
    using RelinquishHandler = std::function<void(PeerReply, RelinquishOutcome)>;
    using ConfirmHandler = std::function<void(PeerReply, bool isConfirmed)>;
    using DoneHandler = std::function<void(PeerReply)>;

    using AssignmentHandler = std::function<void(PeerReply, SharedAssignment)>;

    virtual ~PeerCalls() = default;
    virtual void exchange(const PeerTarget &target, PeerMessage message, ExchangeHandler handler) = 0;
    virtual void fetchConfig(const PeerTarget &target, ConfigurationHandler handler) = 0;
    /// A process other than target.process does not handle the call; the reply then has isOtherProcess.
    virtual void
    relinquishClaim(const PeerTarget &target, std::string_view service, std::string_view key, std::string_view token, RelinquishHandler handler) = 0;
    /// A process other than target.process does not handle the call; the reply then has isOtherProcess.
    virtual void confirmNoOrdersInFlight(const PeerTarget &target, const DomainKey &domain, std::uint64_t epoch, ConfirmHandler handler) = 0;
    virtual void reportSignals(const PeerTarget &target, std::vector<PeerSignal> signals, DoneHandler handler) = 0;
    virtual void fetchAssignment(const PeerTarget &target, std::vector<RecordStamp> known, AssignmentHandler handler) = 0;
};

/// Handles calls of other daemons, on the control thread. A function passed as @p answer may be called later, once, on the
/// control thread; if it is never called, the call times out at the caller.
class PeerRequestHandler
{
public:
    virtual ~PeerRequestHandler() = default;
    virtual PeerMessage onExchange(const PeerMessage &message) = 0;
    virtual ConfigurationText onFetchConfig() = 0;
    virtual void onRelinquishClaim(std::string service, std::string key, std::string token, std::function<void(RelinquishOutcome)> answer) = 0;
    virtual void onConfirmNoOrdersInFlight(DomainKey domain, std::uint64_t epoch, std::function<void(bool)> answer) = 0;
    virtual void onSignals(std::vector<PeerSignal> signals) = 0;
    virtual SharedAssignment onFetchAssignment(const std::vector<RecordStamp> &known) = 0;
};

}
