#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <utility>
#include <vector>

namespace carawaypoint
{

/// Part of a message that exceeds one datagram.
struct MessageFragment {
    std::uint64_t message = 0; // the same in all fragments of a message of one sender
    std::uint32_t index = 0;
    std::uint32_t count = 0; // fragments of the message
    std::vector<std::byte> bytes;
};

/// Divides @p bytes into fragments of at most @p maxBytes each.
std::vector<MessageFragment> divideMessage(std::span<const std::byte> bytes, std::uint64_t message, std::size_t maxBytes);

/// Assembles messages from fragments, in any order. Bounded: datagrams may be lost, repeated or forged. Does no I/O; the time is passed in.
class FragmentAssembler
{
public:
    static constexpr std::uint32_t MaxFragments = 64;
    /// Incomplete messages at the same time; the oldest is dropped for a further one.
    static constexpr std::size_t MaxMessages = 4;
    /// An incomplete message is dropped after this time; its receiver has asked for it again by then.
    static constexpr Duration Timeout = seconds(1);

    /// Adds a fragment. Returns the whole message when it is complete.
    std::optional<std::vector<std::byte>> add(const Endpoint &sender, MessageFragment fragment, TimePoint now);
    /// Number of incomplete messages.
    std::size_t pendingCount() const
    {
        return pending_.size();
    }

private:
    struct Pending {
        std::map<std::uint32_t, std::vector<std::byte>> parts; // by index
        std::uint32_t count = 0;
        TimePoint startedAt{};
    };
    using Key = std::pair<Endpoint, std::uint64_t>;

    void removeOld(TimePoint now);

    std::map<Key, Pending> pending_;
};

}
