#include "gateway/change_relay.h"

#include "objects/store_version.h"
#include "observe/log.h"
#include "observe/metrics.h"

#include <algorithm>
#include <utility>

namespace carawaypoint
{

namespace
{

/// Answers to requests are limited, since the sender of a datagram may be forged.
constexpr Duration AnswerInterval = milliseconds(250);
constexpr unsigned MaxAnswersPerInterval = 200;

}

ChangeRelay::ChangeRelay(boost::asio::io_context &io, Hooks hooks)
    : hooks_(std::move(hooks))
    , feed_(io)
{
}

std::error_code ChangeRelay::open(const Endpoint &endpoint)
{
    return feed_.open(endpoint, [this](const ChangeMessage &message, const Endpoint &sender) { handleMessage(message, sender); });
}

void ChangeRelay::setPlan(const RelayPlan &plan)
{
    plan_ = plan;
}

void ChangeRelay::handleMessage(const ChangeMessage &message, const Endpoint &sender)
{
    const auto now = clock_.now();
    if (message.request) {
        answer(*message.request, sender, now);
    } else {
        auto notice = message.notice;
        completeEra(notice, storeEraOf(hooks_.known().revision));
        handleNotice(notice, now);
    }
}

void ChangeRelay::handleNotice(const ChangeNotice &notice, TimePoint now)
{
    const auto known = hooks_.known();
    const auto step = follower_.applyNotice(notice, known.revision, known.configVersion, now);
    if (!hooks_.isFollowing()) {
        return;
    }
    hooks_.onNotice(notice);
    if (notice.configUpdate && notice.configUpdate->version > known.configVersion) {
        applyConfigUpdate(*notice.configUpdate);
    }
    if (step == ChangeFollower::Step::Apply && notice.isList) {
        applyList(notice);
    } else if (step == ChangeFollower::Step::Apply) {
        changes_.add(notice.fromRevision, notice.toRevision, notice.changes);
        servers_.apply(notice.changes);
        hooks_.onChanges(notice);
    }
    askForMissing(now);
}

void ChangeRelay::applyConfigUpdate(const ConfigUpdate &update)
{
    auto text = configs_.restore(update);
    if (!text) {
        metricsRegistry().count(CounterMetric::PlatformErrors, "config_update");
        logLine(LogLevel::Debug, "configuration update does not fit", {{"base", update.baseVersion}, {"object_version", update.version}});
        return;
    }
    configs_.add(update.version, *text);
    hooks_.onConfig(update.version, *std::move(text));
}

void ChangeRelay::applyList(const ChangeNotice &list)
{
    std::vector<StoredObject> objects;
    objects.reserve(list.changes.size());
    for (const auto &change : list.changes) {
        objects.push_back(change.object);
    }
    servers_.replaceAll(objects);
    changes_.reset(list.toRevision);
    hooks_.onList(objects, list.toRevision);
}

/// Only gateways of the zone get answers: a list is a thousand times as long as the request for it, whose sender may be forged.
bool ChangeRelay::isReceiver(const Endpoint &endpoint) const
{
    const auto &receivers = plan_.changeReceivers();
    return std::any_of(receivers.begin(), receivers.end(), [&endpoint](const PeerGateway &peer) { return peer.changes == endpoint; });
}

/// The remaining deferral passes with time, so that a list is encoded for each request while removals are deferred.
bool ChangeRelay::EncodedList::isCurrent(const Known &now) const
{
    const bool isDeferring = known.remainingDeferral > Duration{} || now.remainingDeferral > Duration{};
    return !datagrams.empty() && !isDeferring && known.revision == now.revision && known.configVersion == now.configVersion;
}

void ChangeRelay::sendList(const Known &known, const Endpoint &receiver)
{
    if (servers_.isEmpty()) {
        return;
    }
    if (!encodedList_.isCurrent(known)) {
        auto list = servers_.notice(known.revision);
        list.configVersion = known.configVersion;
        list.remainingDeferral = known.remainingDeferral;
        encodedList_ = {known, feed_.encode(list)};
    }
    feed_.sendDatagrams(encodedList_.datagrams, receiver);
}

/// Sends the changes, or a list, and the configuration that the sender misses, as far as they are kept.
void ChangeRelay::answer(const ChangeRequest &request, const Endpoint &sender, TimePoint now)
{
    if (now - answersSince_ >= AnswerInterval) {
        answersSince_ = now;
        answers_ = 0;
    }
    const auto known = hooks_.known();
    if (!plan_.isRelay() || !isReceiver(sender) || ++answers_ > MaxAnswersPerInterval) {
        return;
    }
    if (auto notice = changes_.since(request.revision)) {
        notice->configVersion = known.configVersion;
        notice->remainingDeferral = known.remainingDeferral;
        feed_.send(*notice, std::span(&sender, 1));
    } else if (known.isConfirmed) {
        sendList(known, sender);
    }
    // A list or a whole configuration of an unconfirmed relay may be seconds old.
    auto update = known.isConfirmed || request.configVersion > 0 ? configs_.updateFrom(request.configVersion) : std::nullopt;
    if (update) {
        auto notice = makeNotice();
        notice.configUpdate = std::move(update);
        feed_.send(notice, std::span(&sender, 1));
    }
}

ChangeNotice ChangeRelay::makeNotice() const
{
    const auto known = hooks_.known();
    ChangeNotice notice;
    notice.fromRevision = known.revision;
    notice.toRevision = known.revision;
    notice.configVersion = known.configVersion;
    notice.remainingDeferral = known.remainingDeferral;
    return notice;
}

void ChangeRelay::send(const ChangeNotice &notice, TimePoint now)
{
    if (hooks_.isFollowing()) {
        return;
    }
    publishedAt_ = now;
    std::vector<Endpoint> receivers;
    receivers.reserve(plan_.changeReceivers().size());
    for (const auto &peer : plan_.changeReceivers()) {
        receivers.push_back(peer.changes);
    }
    if (!receivers.empty()) {
        feed_.send(notice, receivers);
    }
}

void ChangeRelay::publishChanges(std::uint64_t from, std::span<const ObjectEvent> changes, TimePoint now)
{
    auto notice = makeNotice();
    notice.fromRevision = from;
    notice.changes.assign(changes.begin(), changes.end());
    changes_.add(notice.fromRevision, notice.toRevision, changes);
    servers_.apply(changes);
    send(notice, now);
}

void ChangeRelay::publishList(std::span<const StoredObject> objects, TimePoint now)
{
    const auto notice = makeNotice();
    changes_.reset(notice.toRevision);
    servers_.replaceAll(objects);
    send(notice, now);
}

void ChangeRelay::publishConfig(std::string text, TimePoint now)
{
    auto notice = makeNotice();
    configs_.add(notice.configVersion, std::move(text));
    notice.configUpdate = configs_.updateFrom(configs_.previousVersion());
    send(notice, now);
}

void ChangeRelay::sendHeartbeat(TimePoint now)
{
    if (plan_.isRelay() && now - publishedAt_ >= ChangeFollower::HeartbeatInterval) {
        send(makeNotice(), now);
    }
}

void ChangeRelay::askForMissing(TimePoint now)
{
    const auto known = hooks_.known();
    if (!hooks_.isFollowing()) {
        return;
    }
    const auto source = follower_.nextSource(known.revision, known.configVersion, now);
    if (source == ChangeFollower::Source::None) {
        return;
    }
    const auto &relays = plan_.reportReceivers();
    logLine(LogLevel::Debug, "changes are missing",
            {{"revision", known.revision}, {"object_version", known.configVersion}, {"requests", follower_.relayRequests()}});
    if (source == ChangeFollower::Source::Store || relays.empty()) {
        hooks_.askStore();
        return;
    }
    const auto &relay = relays[follower_.relayRequests() % relays.size()];
    feed_.request({known.revision, known.configVersion}, relay.changes);
}

}
