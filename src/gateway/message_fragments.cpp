#include "gateway/message_fragments.h"

#include <algorithm>

namespace carawaypoint
{

std::vector<MessageFragment> divideMessage(std::span<const std::byte> bytes, std::uint64_t message, std::size_t maxBytes)
{
    const auto count = static_cast<std::uint32_t>((bytes.size() + maxBytes - 1) / maxBytes);
    std::vector<MessageFragment> fragments;
    fragments.reserve(count);
    for (std::uint32_t index = 0; index < count; ++index) {
        const auto part = bytes.subspan(index * maxBytes, std::min(maxBytes, bytes.size() - index * maxBytes));
        fragments.push_back({message, index, count, {part.begin(), part.end()}});
    }
    return fragments;
}

void FragmentAssembler::removeOld(TimePoint now)
{
    std::erase_if(pending_, [now](const auto &entry) { return now - entry.second.startedAt >= Timeout; });
    while (pending_.size() > MaxMessages) {
        const auto oldest = std::min_element(pending_.begin(), pending_.end(),
                                             [](const auto &left, const auto &right) { return left.second.startedAt < right.second.startedAt; });
        pending_.erase(oldest);
    }
}

std::optional<std::vector<std::byte>> FragmentAssembler::add(const Endpoint &sender, MessageFragment fragment, TimePoint now)
{
    if (fragment.count == 0 || fragment.count > MaxFragments || fragment.index >= fragment.count) {
        return std::nullopt;
    }
    const Key key{sender, fragment.message};
    auto &pending = pending_.try_emplace(key, Pending{{}, fragment.count, now}).first->second;
    if (pending.count != fragment.count) {
        return std::nullopt;
    }
    pending.parts.insert_or_assign(fragment.index, std::move(fragment.bytes));
    if (pending.parts.size() < pending.count) {
        removeOld(now);
        return std::nullopt;
    }
    std::vector<std::byte> message;
    for (const auto &[index, part] : pending.parts) {
        message.insert(message.end(), part.begin(), part.end());
    }
    pending_.erase(key);
    return message;
}

}
