#include "membership/membership_agent.h"

#include "core/result_code.h"
#include "membership/zone_member_list.h"
#include "observe/log.h"

#include <algorithm>
#include <set>

namespace carawaypoint
{

namespace
{

// Signals per second that are sent to all N members of the zone at once. Further ones are sent with the exchanges, so that
// many crashes at the same time cost at most this many times N calls per second.
constexpr unsigned PushedSignalsPerSecond = 4;

/// Time for which the VM has been suspended since boot, apart from a constant.
Duration suspendedTime(TimePoint steadyNow)
{
    return BootTimeClock().now() - steadyNow;
}

}

class MembershipAgent::Impl : public std::enable_shared_from_this<Impl>
{
public:
    Impl(const boost::asio::any_io_executor &control,
         const Clock &clock,
         ObjectStore &store,
         ConfigurationAgent &configuration,
         MembershipAgentOptions options,
         MembershipCallbacks callbacks)
        : clock_(clock)
        , configuration_(configuration)
        , options_(std::move(options))
        , callbacks_(std::move(callbacks))
        , random_(options_.randomSeed)
        , table_(options_.table, options_.self, random_, clock.now())
        , timer_(control)
        , zoneList_(store, options_.self.zone)
        , suspendedTime_(suspendedTime(clock.now()))
    {
        table_.setSeeds(options_.seeds);
    }

    void start(PeerCalls &calls)
    {
        calls_ = &calls;
        configuration_.setPeers(calls);
        configuration_.setRevisionHandler([this](std::uint64_t revision) { table_.recordPlatformRevision(revision); });
        tick();
    }

    void close()
    {
        isClosed_ = true;
        timer_.cancel();
        configuration_.setRevisionHandler({});
    }

    void sendExchanges(std::vector<OutgoingExchange> exchanges)
    {
        for (auto &exchange : exchanges) {
            const auto target = exchange.target;
            calls_->exchange(target, std::move(exchange.message), [self = shared_from_this(), target](const PeerReply &reply, const PeerMessage &message) {
                if (self->isClosed_) {
                    return;
                }
                if (reply.error) {
                    self->table_.handleFailure(target, self->clock_.now());
                } else {
                    self->table_.handleResponse(target, message, self->clock_.now());
                }
                self->afterExchange();
            });
        }
    }

    void sendUrgentExchanges()
    {
        if (calls_ != nullptr) {
            sendExchanges(table_.takeUrgentExchanges(clock_.now()));
        }
    }

    void pushSignal(const PeerSignal &signal)
    {
        sendUrgentExchanges();
        const auto now = clock_.now();
        if (now - pushWindowStart_ > seconds(1)) {
            pushWindowStart_ = now;
            pushedSignalCount_ = 0;
        }
        if (calls_ == nullptr || ++pushedSignalCount_ > PushedSignalsPerSecond) {
            return;
        }
        for (const auto &id : table_.members().liveMembers(options_.self.zone)) {
            if (id != options_.self.id) {
                calls_->reportSignals(target(id), {signal}, [](const PeerReply &) {});
            }
        }
    }

    PeerTarget target(const MemberId &id) const
    {
        const auto record = table_.members().find(id);
        return record ? PeerTarget{id, record->process, record->address} : PeerTarget{};
    }

    void afterExchange()
    {
        for (const auto &signal : table_.takeSignals()) {
            deliverSignal(signal);
        }
        sendUrgentExchanges();
    }

    /// Calls onSignal once for a signal that arrives both by push and by exchange.
    void deliverSignal(const PeerSignal &signal)
    {
        const auto now = clock_.now();
        std::erase_if(deliveredSignals_, [&](const auto &item) { return now - item.second > options_.table.signalRetention; });
        const auto key = (signal.kind == PeerSignal::Kind::Leaving ? "l/" : "c/") + signal.subject;
        // A crash suspect that is reported again after a second crash is a new signal.
        const auto [known, isNew] = deliveredSignals_.try_emplace(key, now);
        const bool isRepeat = !isNew && now - known->second < seconds(10);
        known->second = isRepeat ? known->second : now;
        if (!isRepeat && callbacks_.onSignal) {
            callbacks_.onSignal(signal);
        }
    }

    bool isReady()
    {
        return table_.isCurrent(clock_.now()) && configuration_.tracker().isReady();
    }

    MemberTable &table()
    {
        return table_;
    }
    const MembershipCallbacks &callbacks() const
    {
        return callbacks_;
    }
    const Clock &clock() const
    {
        return clock_;
    }
    ConfigurationAgent &configuration()
    {
        return configuration_;
    }

private:
    void tick()
    {
        const auto now = clock_.now();
        detectSuspend(now);
        const auto &inForce = configuration_.tracker().inForce();
        table_.setGeneration(inForce.generation, inForce.digest);
        sendExchanges(table_.tick(now));
        recordGenerations();
        configuration_.setWatcher(table_.isWatcher(now));
        if (now >= nextSeedRefresh_) {
            nextSeedRefresh_ = now + options_.seedInterval;
            refreshZoneList();
        }
        afterExchange();
        if (table_.changeCount() != reportedChangeCount_ && callbacks_.onChange) {
            reportedChangeCount_ = table_.changeCount();
            callbacks_.onChange();
        }
        // Jitter of a twentieth keeps the daemons from ticking at the same time.
        const auto interval = table_.tickInterval();
        timer_.expires_after(interval * 19 / 20 + Duration(static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(interval.count() / 10))));
        timer_.async_wait([self = shared_from_this()](auto error) {
            if (!error && !self->isClosed_) {
                self->tick();
            }
        });
    }

    void detectSuspend(TimePoint now)
    {
        const auto offset = suspendedTime(now);
        if (offset - suspendedTime_ > options_.table.period * options_.table.pausePeriods) {
            table_.recordPause(now);
        }
        suspendedTime_ = offset;
    }

    void recordGenerations()
    {
        std::set<MemberId> live;
        for (const auto &record : table_.members().allRecords()) {
            if (record.id != options_.self.id && isLiveStatus(record.status)) {
                live.insert(record.id);
                configuration_.recordMember({record.id, record.process, record.address}, record.generation, record.generationDigest);
            }
        }
        for (const auto &status : configuration_.tracker().memberStatus()) {
            if (!live.contains(status.member)) {
                configuration_.forgetMember(status.member);
            }
        }
    }

    /// Reads the zone's member list for unknown peers; watchers also write it.
    void refreshZoneList()
    {
        std::vector<Endpoint> live;
        for (const auto &id : table_.members().liveMembers(options_.self.zone)) {
            live.push_back(target(id).address);
        }
        zoneList_.refresh(live, table_.isWatcher(clock_.now()), [weak = weak_from_this()](std::vector<Endpoint> seeds) {
            const auto self = weak.lock();
            if (!self || self->isClosed_) {
                return;
            }
            seeds.insert(seeds.end(), self->options_.seeds.begin(), self->options_.seeds.end());
            self->table_.setSeeds(std::move(seeds));
        });
    }

    const Clock &clock_;
    ConfigurationAgent &configuration_;
    MembershipAgentOptions options_;
    MembershipCallbacks callbacks_;
    RandomGenerator random_;
    MemberTable table_;
    boost::asio::steady_timer timer_;
    ZoneMemberList zoneList_;
    PeerCalls *calls_ = nullptr;
    Duration suspendedTime_;
    TimePoint nextSeedRefresh_{};
    TimePoint pushWindowStart_{};
    unsigned pushedSignalCount_ = 0;
    std::map<std::string, TimePoint> deliveredSignals_;
    std::uint64_t reportedChangeCount_ = 0;
    bool isClosed_ = false;
};

MembershipAgent::MembershipAgent(const boost::asio::any_io_executor &control,
                                 const Clock &clock,
                                 ObjectStore &store,
                                 ConfigurationAgent &configuration,
                                 MembershipAgentOptions options,
                                 MembershipCallbacks callbacks)
    : impl_(std::make_shared<Impl>(control, clock, store, configuration, std::move(options), std::move(callbacks)))
{
}

MembershipAgent::~MembershipAgent()
{
    impl_->close();
}

void MembershipAgent::start(PeerCalls &calls)
{
    impl_->start(calls);
}

void MembershipAgent::leave()
{
    impl_->table().leave();
    impl_->sendUrgentExchanges();
}

MemberTable &MembershipAgent::table()
{
    return impl_->table();
}

bool MembershipAgent::isReady()
{
    return impl_->isReady();
}

PeerTarget MembershipAgent::target(const MemberId &id) const
{
    return impl_->target(id);
}

void MembershipAgent::setObservation(const VmId &vm, const ServerState &state)
{
    impl_->table().setObservation(vm, state, impl_->clock().now());
    impl_->sendUrgentExchanges();
}

void MembershipAgent::reportCrashSuspect(const std::string &fingerprint, std::uint64_t weightThousandths)
{
    impl_->table().reportCrashSuspect(fingerprint, weightThousandths, impl_->clock().now());
    impl_->pushSignal({PeerSignal::Kind::CrashSuspect, fingerprint, weightThousandths});
}

void MembershipAgent::reportLeaving(const VmId &vm)
{
    impl_->table().reportLeaving(vm, impl_->clock().now());
    impl_->pushSignal({PeerSignal::Kind::Leaving, vm.str(), 0});
}

PeerMessage MembershipAgent::onExchange(const PeerMessage &message)
{
    auto response = impl_->table().handleRequest(message, impl_->clock().now());
    impl_->afterExchange();
    return response;
}

ConfigurationText MembershipAgent::onFetchConfig()
{
    return impl_->configuration().tracker().inForce();
}

void MembershipAgent::onRelinquishClaim(std::string service, std::string key, std::string token, std::function<void(RelinquishOutcome)> answer)
{
    if (impl_->callbacks().onRelinquishClaim) {
        impl_->callbacks().onRelinquishClaim(std::move(service), std::move(key), std::move(token), std::move(answer));
    }
}

void MembershipAgent::onConfirmNoOrdersInFlight(DomainKey domain, std::uint64_t epoch, std::function<void(bool)> answer)
{
    if (impl_->callbacks().onConfirmNoOrdersInFlight) {
        impl_->callbacks().onConfirmNoOrdersInFlight(std::move(domain), epoch, std::move(answer));
    }
}

SharedAssignment MembershipAgent::onFetchAssignment(const std::vector<RecordStamp> &known)
{
    return impl_->callbacks().onFetchAssignment ? impl_->callbacks().onFetchAssignment(known) : SharedAssignment{};
}

void MembershipAgent::onSignals(std::vector<PeerSignal> signals)
{
    for (const auto &signal : signals) {
        impl_->deliverSignal(signal);
    }
}

}
