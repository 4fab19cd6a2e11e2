#include "routing/quarantine.h"

namespace carawaypoint
{

namespace
{
constexpr unsigned CrashesToQuarantine = 2;
constexpr Duration Retention = minutes(10);
constexpr double PeerWeight = 1; // peers do not tell how many shared the batch
}

void Quarantine::addCrash(std::uint64_t fingerprint, const ReplicaId &replica, std::uint64_t incarnation, std::uint32_t sharers, TimePoint now)
{
    if (fingerprint == 0) {
        return;
    }
    Suspect &suspect = touch(fingerprint, now);
    const std::pair crashed(replica, incarnation);
    if (suspect.crashes > 0 && suspect.lastReplica == crashed) {
        return;
    }
    suspect.lastReplica = crashed;
    ++suspect.crashes;
    suspect.weight += 1.0 / (sharers > 0 ? sharers : 1);
    unreported_.push_back(fingerprint);
}

void Quarantine::addPeerCrash(std::uint64_t fingerprint, TimePoint now)
{
    if (fingerprint == 0) {
        return;
    }
    Suspect &suspect = touch(fingerprint, now);
    ++suspect.crashes;
    suspect.weight += PeerWeight;
}

void Quarantine::clear(std::uint64_t fingerprint)
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

double Quarantine::weight(std::uint64_t fingerprint) const
{
    const Suspect *suspect = find(fingerprint);
    return suspect ? suspect->weight : 0;
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
    return std::exchange(unreported_, {});
}

void Quarantine::expire(TimePoint now)
{
    std::erase_if(suspects_, [now](const auto &item) { return item.second.expiresAt < now; });
}

Quarantine::Suspect &Quarantine::touch(std::uint64_t fingerprint, TimePoint now)
{
    Suspect &suspect = suspects_[fingerprint];
    suspect.expiresAt = now + Retention;
    return suspect;
}

const Quarantine::Suspect *Quarantine::find(std::uint64_t fingerprint) const
{
    const auto found = suspects_.find(fingerprint);
    return found == suspects_.end() ? nullptr : &found->second;
}

}
