#include "protocol/wire_conversion.h"

#include <algorithm>

namespace carawaypoint::wire
{

namespace
{

constexpr std::uint8_t FlagRemoved = 1;
constexpr std::uint8_t FlagSeen = 2;
constexpr std::uint8_t FlagLoaded = 4;
constexpr std::uint8_t FlagLeaving = 8;

void require(bool isFulfilled, const char *what)
{
    if (!isFulfilled) {
        throw MalformedError(what);
    }
}

template<typename Value>
void writeList(typename capnp::List<Value>::Builder list, const std::vector<KeyCount> &counts, auto KeyCount::*member)
{
    for (unsigned i = 0; i < counts.size(); ++i) {
        list.set(i, counts[i].*member);
    }
}

void writeMember(Member::Builder builder, const MemberRecord &record)
{
    builder.setId(record.id.str());
    builder.setZone(record.zone.str());
    builder.setAddress(record.address.toString());
    builder.setProcess(record.process);
    builder.setRevision(record.revision);
    builder.setStatus(static_cast<std::uint8_t>(record.status));
    builder.setGeneration(record.generation);
    builder.setGenerationDigest(record.generationDigest);
}

MemberRecord readMember(Member::Reader reader)
{
    MemberRecord record;
    record.id = MemberId(readText(reader.getId()));
    record.zone = ZoneId(readText(reader.getZone()));
    record.address = Endpoint::parse(readText(reader.getAddress()));
    record.process = reader.getProcess();
    record.revision = reader.getRevision();
    require(reader.getStatus() <= static_cast<std::uint8_t>(MemberStatus::Dead), "status out of range");
    record.status = static_cast<MemberStatus>(reader.getStatus());
    record.generation = reader.getGeneration();
    record.generationDigest = reader.getGenerationDigest();
    require(!record.id.isEmpty() && !record.zone.isEmpty() && record.address.isValid() && record.process != 0, "incomplete member");
    return record;
}

void writeCounts(Counts::Builder builder, const std::vector<KeyCount> &customers, const std::vector<KeyCount> &replicas)
{
    const auto customerCount = static_cast<unsigned>(customers.size());
    const auto replicaCount = static_cast<unsigned>(replicas.size());
    if (customerCount > 0) {
        writeList<std::uint32_t>(builder.initCustomerKeys(customerCount), customers, &KeyCount::key);
        writeList<std::uint16_t>(builder.initCustomerCounts(customerCount), customers, &KeyCount::count);
    }
    if (replicaCount > 0) {
        writeList<std::uint32_t>(builder.initReplicaKeys(replicaCount), replicas, &KeyCount::key);
        writeList<std::uint16_t>(builder.initReplicaCounts(replicaCount), replicas, &KeyCount::count);
    }
}

std::vector<KeyCount> readCounts(capnp::List<std::uint32_t>::Reader keys, capnp::List<std::uint16_t>::Reader values)
{
    require(keys.size() == values.size() && keys.size() <= MaxCountsPerEntry, "list of counts");
    std::vector<KeyCount> counts;
    counts.reserve(keys.size());
    for (unsigned i = 0; i < keys.size(); ++i) {
        counts.push_back({keys[i], values[i]});
    }
    return counts;
}

bool hasCounts(EntryKind kind)
{
    return kind == EntryKind::Demand || kind == EntryKind::ZoneDemand;
}

void writeEntry(Entry::Builder builder, const StateEntry &entry)
{
    const auto &server = entry.server;
    builder.setVersion(entry.version);
    builder.setKind(static_cast<std::uint8_t>(entry.kind));
    builder.setFlags(static_cast<std::uint8_t>((entry.isRemoved ? FlagRemoved : 0) | (server.isSeen ? FlagSeen : 0) | (server.isLoaded ? FlagLoaded : 0)
                                               | (server.isLeaving ? FlagLeaving : 0)));
    builder.setRunning(server.running);
    builder.setNumber(entry.kind == EntryKind::Observation ? server.fencing.epoch : entry.number);
    builder.setIncarnation(server.fencing.incarnation);
    builder.setQueued(server.queued);
    builder.setRunningLong(server.runningLong);
    builder.setTokensPerSecond(server.tokensPerSecond);
    if (hasCounts(entry.kind)) {
        auto counts = builder.initCounts();
        counts.setKey(entry.key);
        writeCounts(counts.initCounts(), entry.customers, entry.replicas);
    } else {
        builder.setKey(entry.key);
    }
}

StateEntry readEntry(Entry::Reader reader)
{
    StateEntry entry;
    require(reader.getKind() < EntryKindCount, "kind out of range");
    entry.kind = static_cast<EntryKind>(reader.getKind());
    entry.version = reader.getVersion();
    const auto flags = reader.getFlags();
    entry.isRemoved = (flags & FlagRemoved) != 0;
    entry.server.isSeen = (flags & FlagSeen) != 0;
    entry.server.isLoaded = (flags & FlagLoaded) != 0;
    entry.server.isLeaving = (flags & FlagLeaving) != 0;
    entry.server.running = reader.getRunning();
    entry.server.queued = reader.getQueued();
    entry.server.runningLong = reader.getRunningLong();
    entry.server.tokensPerSecond = reader.getTokensPerSecond();
    if (entry.kind == EntryKind::Observation) {
        entry.server.fencing = {reader.getNumber(), reader.getIncarnation()};
    } else {
        entry.number = reader.getNumber();
    }
    require(reader.isCounts() == hasCounts(entry.kind), "content does not fit the kind");
    if (reader.isCounts()) {
        const auto counts = reader.getCounts();
        entry.key = readText(counts.getKey());
        entry.customers = readCounts(counts.getCounts().getCustomerKeys(), counts.getCounts().getCustomerCounts());
        entry.replicas = readCounts(counts.getCounts().getReplicaKeys(), counts.getCounts().getReplicaCounts());
    } else {
        entry.key = readText(reader.getKey());
    }
    return entry;
}

void writeDelta(Delta::Builder builder, const OwnerDelta &delta)
{
    builder.setOwner(delta.owner);
    builder.setFrom(delta.from);
    builder.setFloor(delta.floor);
    builder.setUpTo(delta.upTo);
    auto entries = builder.initEntries(static_cast<unsigned>(delta.entries.size()));
    for (unsigned i = 0; i < delta.entries.size(); ++i) {
        writeEntry(entries[i], delta.entries[i]);
    }
}

void writeSummary(Summary::Builder builder, const ZoneSummary &summary)
{
    builder.setIsPresent(summary.isPresent);
    builder.setIsFresh(summary.isFresh);
    builder.setAgeMs(summary.ageMs);
    auto missing = builder.initMissing(static_cast<unsigned>(summary.missing.size()));
    for (unsigned i = 0; i < summary.missing.size(); ++i) {
        missing.set(i, summary.missing[i]);
    }
    writeCounts(builder.initCounts(), summary.customers, summary.replicas);
}

ZoneSummary readSummary(Summary::Reader reader)
{
    ZoneSummary summary;
    summary.isPresent = reader.getIsPresent();
    summary.isFresh = reader.getIsFresh();
    summary.ageMs = reader.getAgeMs();
    require(reader.getMissing().size() <= MaxMissingInSummary, "too many missing servers");
    for (const auto vm : reader.getMissing()) {
        summary.missing.push_back(readText(vm));
    }
    summary.customers = readCounts(reader.getCounts().getCustomerKeys(), reader.getCounts().getCustomerCounts());
    summary.replicas = readCounts(reader.getCounts().getReplicaKeys(), reader.getCounts().getReplicaCounts());
    return summary;
}

}

std::string readText(capnp::Text::Reader text)
{
    require(text.size() <= MaxTextBytes, "text too long");
    return {text.begin(), text.size()};
}

void write(Message::Builder builder, const PeerMessage &message)
{
    writeMember(builder.initSender(), message.sender);
    builder.setMemberDigest(message.memberDigest);
    builder.setPlatformRevision(message.platformRevision);
    builder.setIsRequestingFull(message.isRequestingFull);
    builder.setIsFull(message.isFull);
    if (!message.members.empty()) {
        auto members = builder.initMembers(static_cast<unsigned>(message.members.size()));
        for (unsigned i = 0; i < message.members.size(); ++i) {
            writeMember(members[i], message.members[i]);
        }
    }
    if (!message.stamps.empty()) {
        // Entries with a time stamp come first, because the list of times covers only the first owners.
        auto stamps = message.stamps;
        const auto timed = std::partition(stamps.begin(), stamps.end(), [](const auto &stamp) { return stamp.hasStamp; });
        const auto count = static_cast<unsigned>(stamps.size());
        auto owners = builder.initStampOwners(count);
        auto times = builder.initStampTimes(static_cast<unsigned>(timed - stamps.begin()));
        auto versions = builder.initStampVersions(count);
        auto since = builder.initStampSinceException(times.size());
        for (unsigned i = 0; i < count; ++i) {
            owners.set(i, stamps[i].owner);
            versions.set(i, stamps[i].version);
            if (i < times.size()) {
                times.set(i, stamps[i].stamp);
                since.set(i, stamps[i].sinceException);
            }
        }
    }
    if (!message.deltas.empty()) {
        auto deltas = builder.initDeltas(static_cast<unsigned>(message.deltas.size()));
        for (unsigned i = 0; i < message.deltas.size(); ++i) {
            writeDelta(deltas[i], message.deltas[i]);
        }
    }
    if (message.summary.isPresent) {
        writeSummary(builder.initSummary(), message.summary);
    }
}

PeerMessage read(Message::Reader reader)
{
    PeerMessage message;
    message.sender = readMember(reader.getSender());
    message.memberDigest = reader.getMemberDigest();
    message.platformRevision = reader.getPlatformRevision();
    message.isRequestingFull = reader.getIsRequestingFull();
    message.isFull = reader.getIsFull();
    const auto members = reader.getMembers();
    require(members.size() <= (message.isFull ? MaxFullMembers : MaxDeltaEntries), "too many members");
    for (const auto member : members) {
        message.members.push_back(readMember(member));
    }
    const auto owners = reader.getStampOwners();
    const auto times = reader.getStampTimes();
    const auto versions = reader.getStampVersions();
    const auto since = reader.getStampSinceException();
    require(owners.size() <= MaxFullMembers && times.size() <= owners.size() && owners.size() == versions.size() && since.size() == times.size(),
            "list of stamps");
    message.stamps.reserve(owners.size());
    for (unsigned i = 0; i < owners.size(); ++i) {
        const bool hasStamp = i < times.size();
        message.stamps.push_back({owners[i], hasStamp ? times[i] : std::uint16_t{0}, versions[i], hasStamp, hasStamp ? since[i] : std::uint8_t{0}});
    }
    const auto deltas = reader.getDeltas();
    require(deltas.size() <= MaxFullMembers, "too many deltas");
    std::size_t entryCount = 0;
    for (const auto delta : deltas) {
        const auto entries = delta.getEntries();
        entryCount += entries.size();
        require(entryCount <= (message.isFull ? MaxFullEntries : MaxDeltaEntries), "too many entries");
        OwnerDelta owned{delta.getOwner(), delta.getFrom(), delta.getFloor(), delta.getUpTo(), {}};
        for (const auto entry : entries) {
            owned.entries.push_back(readEntry(entry));
        }
        message.deltas.push_back(std::move(owned));
    }
    if (reader.hasSummary()) {
        message.summary = readSummary(reader.getSummary());
    }
    return message;
}

std::vector<PeerSignal> readSignals(capnp::List<Signal>::Reader reader)
{
    require(reader.size() <= MaxSignals, "too many signals");
    std::vector<PeerSignal> signals;
    for (const auto signal : reader) {
        require(signal.getKind() <= static_cast<std::uint8_t>(PeerSignal::Kind::Leaving), "kind of signal out of range");
        signals.push_back({static_cast<PeerSignal::Kind>(signal.getKind()), readText(signal.getSubject()), signal.getWeightThousandths()});
    }
    return signals;
}

void write(capnp::List<RecordStamp>::Builder builder, const std::vector<carawaypoint::RecordStamp> &stamps)
{
    for (unsigned i = 0; i < stamps.size(); ++i) {
        builder[i].setName(stamps[i].name);
        builder[i].setEpoch(stamps[i].epoch);
        builder[i].setSequence(stamps[i].sequence);
    }
}

std::vector<carawaypoint::RecordStamp> readStamps(capnp::List<RecordStamp>::Reader reader)
{
    if (reader.size() > MaxRecords) {
        throw MalformedError("too many record stamps");
    }
    std::vector<carawaypoint::RecordStamp> stamps;
    for (const auto stamp : reader) {
        stamps.push_back({readText(stamp.getName()), stamp.getEpoch(), stamp.getSequence()});
    }
    return stamps;
}

void write(capnp::List<capnp::Text>::Builder builder, const std::vector<std::string> &texts)
{
    for (unsigned i = 0; i < texts.size(); ++i) {
        builder.set(i, texts[i]);
    }
}

void write(capnp::List<Vm>::Builder builder, const std::vector<VmRecord> &vms)
{
    for (unsigned i = 0; i < vms.size(); ++i) {
        builder[i].setId(vms[i].id.str());
        builder[i].setAddress(vms[i].address.toString());
        builder[i].setZone(vms[i].zone.str());
        builder[i].setDomain(vms[i].domain.str());
        builder[i].setPool(vms[i].pool);
        builder[i].setIsLeaving(vms[i].isLeaving);
    }
}

SharedAssignment readAssignment(capnp::List<capnp::Text>::Reader records, capnp::List<Vm>::Reader vms)
{
    if (records.size() > MaxRecords || vms.size() > MaxVms) {
        throw MalformedError("too many records or VMs");
    }
    SharedAssignment assignment;
    for (const auto record : records) {
        // Not read with readText(): the size of a record is limited only by that of the message.
        assignment.records.emplace_back(record.begin(), record.size());
    }
    for (const auto vm : vms) {
        VmRecord entry{VmId(readText(vm.getId())),     Endpoint::parse(readText(vm.getAddress())),
                       ZoneId(readText(vm.getZone())), FabricDomainId(readText(vm.getDomain())),
                       readText(vm.getPool()),         vm.getIsLeaving()};
        if (!entry.address.isValid()) {
            throw MalformedError("a VM's address is not address:port");
        }
        assignment.vms.push_back(std::move(entry));
    }
    return assignment;
}

}
