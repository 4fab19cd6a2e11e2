#pragma once

#include "gateway/change_notice.h"

#include <optional>

namespace carawaypoint
{

/// Decides how a gateway applies change notices, how it fills gaps, and when it must watch the store itself. Does no I/O; the time is passed
/// in.
///
/// If all gateways watched the store, the calls to it would grow with their number. A gateway that misses a notice asks the relays of its zone
/// for the changes, and the store only when they do not answer.
class ChangeFollower
{
public:
    /// Interval between notices of a relay when nothing changes.
    static constexpr Duration HeartbeatInterval = milliseconds(250);
    /// After this time without notices, two were lost or the relay has no answers from the store.
    static constexpr Duration NoticeTimeout = milliseconds(700);
    /// Same for gateways that are not relays: by then the second relay of the zone sends notices, unless it has no answers either.
    static constexpr Duration SecondRelayTimeout = milliseconds(1300);
    /// A gap is not filled before this time, since datagrams may arrive out of order.
    static constexpr Duration GapDelay = milliseconds(60);
    /// Time for an answer of a relay.
    static constexpr Duration RelayAnswerTimeout = milliseconds(250);
    /// Requests to relays before the store is asked.
    static constexpr unsigned MaxRelayRequests = 2;
    /// Same for a gateway that has started and knows nothing yet. After a restart of the whole fleet its relays need some time themselves, and
    /// the lists of all gateways at once would take the store seconds.
    static constexpr unsigned MaxFirstRequests = 10;
    /// Time for an answer to such a request. Short, since the relay may not have been there yet when the last one was sent.
    static constexpr Duration FirstAnswerTimeout = milliseconds(120);

    enum class Step : std::uint8_t {
        None, // the changes are known already
        Apply, // the changes continue from the known revision
        Gap, // some changes are missing
    };
    /// How to get what is missing.
    enum class Source : std::uint8_t {
        None, // nothing is missing, or an answer is awaited
        Relay,
        Store,
    };

    /// @param revision revision up to which this gateway knows all changes; @param configVersion object version of its configuration.
    Step applyNotice(const ChangeNotice &notice, std::uint64_t revision, std::uint64_t configVersion, TimePoint now);
    /// Where to ask now for the changes after @p revision, 0 if no list is known, and the configuration after @p configVersion. Counts as asked.
    Source nextSource(std::uint64_t revision, std::uint64_t configVersion, TimePoint now);
    /// What is known may be old, and is not current before the next notice.
    void requireNotice()
    {
        isNoticeRequired_ = true;
    }
    /// Whether everything that the notices have named is known.
    bool isCurrent(std::uint64_t revision, std::uint64_t configVersion) const
    {
        return !areChangesMissing(revision) && !isConfigMissing(configVersion);
    }
    /// Whether a relay has a newer configuration, or may have one.
    bool isConfigMissing(std::uint64_t configVersion) const
    {
        return isNoticeRequired_ || configVersion < namedConfigVersion_;
    }
    /// Whether a relay knows later changes, or may know some.
    bool areChangesMissing(std::uint64_t revision) const
    {
        return isNoticeRequired_ || revision < namedRevision_;
    }
    /// Whether relays send notices, so that the store need not be watched.
    bool receivesNotices(TimePoint now, Duration timeout = NoticeTimeout) const
    {
        return lastNoticeAt_ && now - *lastNoticeAt_ < timeout;
    }
    /// Number of requests since the last time nothing was missing.
    unsigned relayRequests() const
    {
        return relayRequests_;
    }

private:
    std::optional<TimePoint> lastNoticeAt_;
    std::uint64_t namedRevision_ = 0; // highest revision in a notice
    std::uint64_t namedConfigVersion_ = 0;
    bool isNoticeRequired_ = false;
    std::optional<TimePoint> missingSince_;
    TimePoint askedAt_{};
    unsigned relayRequests_ = 0;
};

}
