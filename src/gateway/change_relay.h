#pragma once

#include "gateway/change_feed.h"
#include "gateway/change_follower.h"
#include "gateway/change_history.h"
#include "gateway/object_list.h"
#include "gateway/relay_plan.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <system_error>

namespace carawaypoint
{

/// Passes changes of the store between the gateways of an availability zone, so that only one of them has to watch it. Used on the control
/// thread only.
///
/// The gateway that watches publishes what it learns; the others apply it, and ask for what they missed.
class ChangeRelay
{
public:
    /// What this gateway knows.
    struct Known {
        std::uint64_t revision = 0; // all changes up to this store revision
        std::uint64_t configVersion = 0; // object version of the configuration
        Duration remainingDeferral{}; // of removals
        bool isConfirmed = false; // configuration and servers were current at some time since the start
    };
    struct Hooks {
        std::function<Known()> known;
        std::function<void(const ChangeNotice &)> onNotice; // called for each notice
        std::function<void(const ChangeNotice &)> onChanges; // the notice continues from the known revision
        std::function<void(std::span<const StoredObject> servers, std::uint64_t revision)> onList; // all servers at a later revision
        std::function<void(std::uint64_t version, std::string text)> onConfig;
        std::function<bool()> isFollowing; // whether changes are to be applied, since the store is not watched
        std::function<void()> askStore; // the relays did not send what is missing
    };

    ChangeRelay(boost::asio::io_context &io, Hooks hooks);

    /// Starts to receive at @p endpoint.
    std::error_code open(const Endpoint &endpoint);
    void setPlan(const RelayPlan &plan);
    const RelayPlan &plan() const
    {
        return plan_;
    }
    const ChangeFollower &follower() const
    {
        return follower_;
    }
    /// What this gateway knows may be old: it asks a relay, and is not current before it hears from one.
    void requireNotice()
    {
        follower_.requireNotice();
    }

    /// The store reported @p changes after the revision @p from, up to the known one.
    void publishChanges(std::uint64_t from, std::span<const ObjectEvent> changes, TimePoint now);
    /// The store reported a list instead of single changes.
    void publishList(std::span<const StoredObject> objects, TimePoint now);
    /// The store reported a configuration with the text @p text, which is the known one now.
    void publishConfig(std::string text, TimePoint now);
    /// A notice without changes, so that the followers know that this relay is there. Sent only when none was sent for a while.
    void sendHeartbeat(TimePoint now);
    /// Asks for what is missing.
    void askForMissing(TimePoint now);

private:
    void handleMessage(const ChangeMessage &message, const Endpoint &sender);
    void handleNotice(const ChangeNotice &notice, TimePoint now);
    void applyConfigUpdate(const ConfigUpdate &update);
    void answer(const ChangeRequest &request, const Endpoint &sender, TimePoint now);
    void applyList(const ChangeNotice &list);
    void sendList(const Known &known, const Endpoint &receiver);
    bool isReceiver(const Endpoint &endpoint) const;
    ChangeNotice makeNotice() const;
    void send(const ChangeNotice &notice, TimePoint now);

    Hooks hooks_;
    SteadyClock clock_;
    ChangeFeed feed_;
    ChangeFollower follower_;
    ChangeHistory changes_;
    ConfigHistory configs_;
    ObjectList servers_;
    /// A list for gateways that start, and what was known when it was encoded.
    struct EncodedList {
        Known known;
        std::vector<std::vector<std::byte>> datagrams;

        bool isCurrent(const Known &now) const;
    };
    EncodedList encodedList_; // after a restart of the fleet, all gateways of the zone ask for the same list
    RelayPlan plan_;
    TimePoint publishedAt_{};
    TimePoint answersSince_{}; // start of the interval in which answers are counted
    unsigned answers_ = 0;
};

}
