#include "routing/quarantine.h"

namespace carawaypoint
{

namespace
{
constexpr unsigned CrashesToQuarantine = 2;
constexpr Duration SuspectRetention = minutes(10);
constexpr double PeerCrashWeight = 1; // peers do not report the number of requests in the batch
}

void Quarantine::addCrash(std::uint64_t fingerprint, const ReplicaId &replica, std::uint64_t incarnation, std::uint32_t batchSize, TimePoint now)
{
    if (fingerprint == 0) {
        return;
    }
    Suspect &suspect = addOrRenew(fingerprint, now);
    const std::pair crashed(replica, incarnation);
    if (suspect.crashes > 0 && suspect.lastCrashedReplica == crashed) {
        return;
    }
    suspect.lastCrashedReplica = crashed;
    ++suspect.crashes;
    suspect.crashWeight += 1.0 / (batchSize > 0 ? batchSize : 1);
    unreportedSuspects_.push_back(fingerprint);
}

void Quarantine::addPeerCrash(std::uint64_t fingerprint, TimePoint now)
{
    if (fingerprint == 0) {
        return;
    }
    Suspect &suspect = addOrRenew(fingerprint, now);
    ++suspect.crashes;
    suspect.crashWeight += PeerCrashWeight;
}

void Quarantine::clearSuspect(std::uint64_t fingerprint)
{
    const auto found = suspects_.find(fingerprint);
    if (found != suspects_.end() && found->second.crashes < CrashesToQuarantine) {
        suspects_.erase(found);
    }
}

bool Quarantine::isSuspect(std::uint64_t fingerprint) const
{
    return find(fingerprint) != nullptr;
}

bool Quarantine::isQuarantined(std::uint64_t fingerprint) const
{
    const Suspect *suspect = find(fingerprint);
    return suspect && suspect->crashes >= CrashesToQuarantine;
}

double Quarantine::crashWeight(std::uint64_t fingerprint) const
{
    const Suspect *suspect = find(fingerprint);
    return suspect ? suspect->crashWeight : 0;
}

void Quarantine::setRunning(std::uint64_t fingerprint, bool isRunning)
{
    const auto found = suspects_.find(fingerprint);
    if (found != suspects_.end()) {
        found->second.isRunning = isRunning;
    }
}

bool Quarantine::isRunning(std::uint64_t fingerprint) const
{
    const Suspect *suspect = find(fingerprint);
    return suspect && suspect->isRunning;
}

std::vector<std::uint64_t> Quarantine::takeNewSuspects()
{
    return std::exchange(unreportedSuspects_, {});
}

void Quarantine::expireSuspects(TimePoint now)
{
    std::erase_if(suspects_, [now](const auto &item) { return item.second.expiresAt < now; });
}

Quarantine::Suspect &Quarantine::addOrRenew(std::uint64_t fingerprint, TimePoint now)
{
    Suspect &suspect = suspects_[fingerprint];
    suspect.expiresAt = now + SuspectRetention;
    return suspect;
}

const Quarantine::Suspect *Quarantine::find(std::uint64_t fingerprint) const
{
    const auto found = suspects_.find(fingerprint);
    return found == suspects_.end() ? nullptr : &found->second;
}

}
