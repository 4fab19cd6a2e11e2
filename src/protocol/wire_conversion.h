#pragma once

// Conversion between the structs of the peer protocol and the generated readers and builders; internal to the package.
#include "membership/member_table.h"
#include "membership/messages.h"
#include "membership/peer_calls.h"
#include "protocol/peer.capnp.h"

#include <stdexcept>
#include <vector>

namespace carawaypoint::wire
{

/// Thrown for a value that is readable but out of range.
class MalformedError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Maximum length of an identifier, fingerprint, key or token.
constexpr std::size_t MaxTextBytes = 512;
constexpr std::size_t MaxSignals = 64; // signals per call
constexpr std::size_t MaxRecords = 4096; // domain records per call: the fabric domains of a fleet
constexpr std::size_t MaxVms = 65536; // VMs per call

std::string readText(capnp::Text::Reader text);
void write(Message::Builder builder, const PeerMessage &message);
/// @throws MalformedError, or kj::Exception for a pointer out of bounds.
PeerMessage read(Message::Reader reader);
std::vector<PeerSignal> readSignals(capnp::List<Signal>::Reader reader);
void write(capnp::List<RecordStamp>::Builder builder, const std::vector<carawaypoint::RecordStamp> &stamps);
std::vector<carawaypoint::RecordStamp> readStamps(capnp::List<RecordStamp>::Reader reader);
void write(capnp::List<capnp::Text>::Builder builder, const std::vector<std::string> &texts);
void write(capnp::List<Vm>::Builder builder, const std::vector<VmRecord> &vms);
SharedAssignment readAssignment(capnp::List<capnp::Text>::Reader records, capnp::List<Vm>::Reader vms);

}
