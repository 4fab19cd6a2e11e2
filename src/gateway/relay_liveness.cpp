#include "gateway/relay_liveness.h"

#include <algorithm>
#include <utility>

namespace carawaypoint
{

void RelayLiveness::expect(std::span<const MemberId> relays, TimePoint now)
{
    std::erase_if(awaitedSince_, [relays](const auto &entry) { return std::find(relays.begin(), relays.end(), entry.first) == relays.end(); });
    for (const auto &relay : relays) {
        awaitedSince_.try_emplace(relay, now);
    }
}

void RelayLiveness::recordMessage(const MemberId &relay, TimePoint now)
{
    hasSpokenAgain_ = silent_.erase(relay) > 0 || hasSpokenAgain_;
    if (const auto found = awaitedSince_.find(relay); found != awaitedSince_.end()) {
        found->second = now;
    }
}

void RelayLiveness::restart(TimePoint now)
{
    for (auto &[relay, since] : awaitedSince_) {
        since = now;
    }
}

bool RelayLiveness::update(TimePoint now)
{
    bool isChanged = std::exchange(hasSpokenAgain_, false);
    for (const auto &[relay, since] : awaitedSince_) {
        if (now - since >= SilenceTimeout) {
            isChanged = silent_.insert(relay).second || isChanged;
        }
    }
    return isChanged;
}

}
