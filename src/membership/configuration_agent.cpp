#include "membership/configuration_agent.h"

#include "core/result_code.h"
#include "observe/log.h"

#include <boost/asio/post.hpp>

#include <utility>

namespace carawaypoint
{

namespace
{

constexpr std::string_view ObjectKind = "config";
constexpr std::string_view ObjectName = "current";

bool isOutcomeUncertain(std::error_code error)
{
    return error == ResultCode::PlatformUnavailable || error == ResultCode::PlatformTimeout;
}

}

class ConfigurationAgent::Impl : public std::enable_shared_from_this<Impl>
{
public:
    Impl(boost::asio::any_io_executor control, const Clock &clock, ObjectStore &store, ConfigurationAgentOptions options)
        : control_(std::move(control))
        , clock_(clock)
        , store_(store)
        , options_(std::move(options))
        , retryTimer_(control_)
    {
    }

    void close()
    {
        isClosed_ = true;
        ++watchRound_;
        retryTimer_.cancel();
    }

    void setWatcher(bool isWatcher)
    {
        if (isWatcher == isWatcher_) {
            return;
        }
        isWatcher_ = isWatcher;
        const auto round = ++watchRound_;
        retryTimer_.cancel();
        if (isWatcher) {
            listConfiguration(round);
        }
    }

    void recordMember(const PeerTarget &member, std::uint64_t generation, std::uint64_t digest)
    {
        if (tracker_.recordMember(member.id, generation, digest, clock_.now()) == GenerationTracker::Outcome::DigestMismatch) {
            reportInvalidConfiguration(member.id.str(), generation);
        }
        if (generation <= tracker_.generation() || isFetchingFromPeer_ || peerCalls_ == nullptr) {
            return;
        }
        isFetchingFromPeer_ = true;
        peerCalls_->fetchConfig(member, [self = shared_from_this(), member](const PeerReply &reply, ConfigurationText text) {
            self->isFetchingFromPeer_ = false;
            if (reply.error || self->isClosed_) {
                return;
            }
            if (normaliseDocuments(text.text) != text.text) {
                self->reportInvalidConfiguration(member.id.str(), text.generation);
            } else {
                self->applyIfNewer(std::move(text), member.id.str());
            }
        });
    }

    void propose(std::string_view documents, std::uint64_t expectedGeneration, ProposeHandler handler)
    {
        auto proposal = std::make_shared<Proposal>();
        proposal->expectedGeneration = expectedGeneration;
        proposal->handler = std::move(handler);
        proposal->attemptsLeft = options_.maxProposalRetries;
        auto text = normaliseDocuments(documents);
        if (!text) {
            finishProposal(*proposal, ResultCode::ConfigInvalid, {});
            return;
        }
        proposal->stored.writer = options_.writer + "-" + std::to_string(++proposalCount_);
        proposal->stored.configuration = {expectedGeneration + 1, configurationDigest(*text), *text};
        proposal->value = formatStoredConfiguration(proposal->stored);
        if (proposal->value.size() > ObjectStore::MaxValueBytes) {
            finishProposal(*proposal, ResultCode::ConfigTooLarge, {});
            return;
        }
        fetchForProposal(proposal);
    }

    ChangeHandler onChange;
    RevisionHandler onRevision;

    void setPeers(PeerCalls &calls)
    {
        peerCalls_ = &calls;
    }
    GenerationTracker &tracker()
    {
        return tracker_;
    }
    std::uint64_t invalidConfigurationCount() const
    {
        return invalidConfigurationCount_;
    }

private:
    struct Proposal {
        std::uint64_t expectedGeneration = 0;
        StoredConfiguration stored;
        std::string value;
        unsigned attemptsLeft = 0;
        bool hasUncertainWrite = false; // a write was sent and its outcome is unknown
        std::uint64_t conditionVersion = 0; // object version that the write was conditional on
        ProposeHandler handler;
    };
    using ProposalPtr = std::shared_ptr<Proposal>;

    void applyIfNewer(ConfigurationText text, const std::string &source)
    {
        const auto generation = text.generation;
        switch (tracker_.applyIfNewer(std::move(text))) {
        case GenerationTracker::Outcome::Applied:
            logDecision("configuration", std::to_string(generation), "applied", "higher than the generation in force", {{"source", source}});
            if (onChange) {
                onChange(tracker_.inForce());
            }
            break;
        case GenerationTracker::Outcome::DigestMismatch:
            reportInvalidConfiguration(source, generation);
            break;
        case GenerationTracker::Outcome::Older:
        case GenerationTracker::Outcome::Unchanged:
            break;
        }
    }

    void reportInvalidConfiguration(const std::string &source, std::uint64_t generation)
    {
        ++invalidConfigurationCount_;
        logLine(LogLevel::Error, "rejected a configuration: its text is malformed, or differs from the known text of the same generation",
                {{"source", source}, {"generation", generation}});
    }

    void scheduleList(std::uint64_t round)
    {
        retryTimer_.expires_after(options_.retryDelay);
        retryTimer_.async_wait([self = shared_from_this(), round](auto error) {
            if (!error) {
                self->listConfiguration(round);
            }
        });
    }

    /// Whether the callback belongs to an earlier watch, or the agent is closed.
    bool isStale(std::uint64_t round) const
    {
        return isClosed_ || round != watchRound_;
    }

    void listConfiguration(std::uint64_t round)
    {
        if (isStale(round)) {
            return;
        }
        store_.list(ObjectKind, [self = shared_from_this(), round](std::error_code error, const ListResult &result) {
            if (self->isStale(round)) {
                return;
            }
            if (error) {
                self->scheduleList(round);
                return;
            }
            self->reportRevision(result.revision);
            const StoredObject *current = nullptr;
            for (const auto &object : result.objects) {
                current = object.name == ObjectName ? &object : current;
            }
            if (!self->applyPlatformObject(current)) {
                self->writeBack(round, current != nullptr ? WriteCondition::ifVersion(current->version) : WriteCondition::ifAbsent());
                return;
            }
            self->watchConfiguration(round, result.revision);
        });
    }

    void watchConfiguration(std::uint64_t round, std::uint64_t revision)
    {
        store_.watch(ObjectKind, revision, options_.watchTimeout,
                     [self = shared_from_this(), round, revision](std::error_code error, const WatchResult &result) {
                         if (self->isStale(round)) {
                             return;
                         }
                         if (error) {
                             self->scheduleList(round);
                             return;
                         }
                         self->reportRevision(result.revision);
                         // The revision decreases when the platform is restored from an older backup.
                         if (result.isListRequired || result.revision < revision) {
                             self->listConfiguration(round);
                             return;
                         }
                         for (const auto &event : result.events) {
                             if (event.object.name != ObjectName) {
                                 continue;
                             }
                             if (!self->applyPlatformObject(event.isRemoved ? nullptr : &event.object)) {
                                 self->writeBack(round, event.isRemoved ? WriteCondition::ifAbsent() : WriteCondition::ifVersion(event.object.version));
                                 return;
                             }
                         }
                         self->watchConfiguration(round, result.revision);
                     });
    }

    void reportRevision(std::uint64_t revision)
    {
        if (onRevision) {
            onRevision(revision);
        }
    }

    /// Returns false when the platform stores a lower generation than this daemon has in force, or none.
    bool applyPlatformObject(const StoredObject *object)
    {
        if (object == nullptr) {
            return !tracker_.isReady();
        }
        auto stored = parseStoredConfiguration(object->value);
        if (!stored) {
            logLine(LogLevel::Error, "config/current on the platform is malformed", {{"version", object->version}});
            return true;
        }
        const bool isOlder = stored->configuration.generation < tracker_.generation();
        applyIfNewer(std::move(stored->configuration), "platform");
        return !isOlder;
    }

    void writeBack(std::uint64_t round, WriteCondition condition)
    {
        const StoredConfiguration stored{options_.writer + "-restore", tracker_.inForce()};
        logDecision("configuration", std::to_string(tracker_.generation()), "written back", "the platform offered a lower generation");
        store_.put(ObjectKind, ObjectName, formatStoredConfiguration(stored), condition, [self = shared_from_this(), round](std::error_code, std::uint64_t) {
            // The next list shows the outcome.
            if (!self->isStale(round)) {
                self->scheduleList(round);
            }
        });
    }

    void fetchForProposal(const ProposalPtr &proposal)
    {
        store_.fetch(ObjectKind, ObjectName, [self = shared_from_this(), proposal](std::error_code error, const StoredObject &object) {
            if (error && error != ResultCode::ObjectNotFound) {
                self->retryProposal(proposal, error);
                return;
            }
            std::optional<StoredConfiguration> stored;
            if (!error) {
                stored = parseStoredConfiguration(object.value);
                if (!stored) {
                    self->finishProposal(*proposal, ResultCode::ObjectMalformed, {});
                    return;
                }
                if (self->resolveUncertainWrite(proposal, *stored, object.version)) {
                    return;
                }
            }
            // If the platform has a lower generation than this daemon, the proposal conflicts with the generation in force, which has
            // to be written back first.
            const auto &present = stored && stored->configuration.generation >= self->tracker_.generation() ? stored->configuration : self->tracker_.inForce();
            if (present.generation != proposal->expectedGeneration || (stored && stored->configuration.generation != present.generation)
                || (!stored && present.generation != 0)) {
                self->finishProposal(*proposal, ResultCode::ConfigConflict, present);
                return;
            }
            self->writeProposal(proposal, stored ? WriteCondition::ifVersion(object.version) : WriteCondition::ifAbsent());
        });
    }

    /// Derives the outcome of an earlier write of @p proposal from the stored object. Returns whether the proposal is finished.
    bool resolveUncertainWrite(const ProposalPtr &proposal, const StoredConfiguration &stored, std::uint64_t version)
    {
        if (!proposal->hasUncertainWrite || version == proposal->conditionVersion) {
            return false;
        }
        if (stored.writer == proposal->stored.writer) {
            acceptProposal(*proposal);
            return true;
        }
        // The same generation from another writer means that this write was refused; below a later generation it may have been
        // accepted and replaced.
        const bool isRefused = stored.configuration.generation <= proposal->stored.configuration.generation;
        finishProposal(*proposal, isRefused ? ResultCode::ConfigConflict : ResultCode::ConfigNotInForce, stored.configuration);
        return true;
    }

    void writeProposal(const ProposalPtr &proposal, WriteCondition condition)
    {
        proposal->hasUncertainWrite = true;
        proposal->conditionVersion = condition.version;
        store_.put(ObjectKind, ObjectName, proposal->value, condition, [self = shared_from_this(), proposal](std::error_code error, std::uint64_t) {
            if (!error) {
                self->acceptProposal(*proposal);
            } else if (isOutcomeUncertain(error)) {
                self->retryProposal(proposal, error);
            } else if (error == ResultCode::VersionConflict) {
                self->fetchForProposal(proposal);
            } else {
                self->finishProposal(*proposal, error == ResultCode::ObjectTooLarge ? ResultCode::ConfigTooLarge : error, {});
            }
        });
    }

    void retryProposal(const ProposalPtr &proposal, std::error_code error)
    {
        if (isClosed_ || proposal->attemptsLeft-- == 0) {
            finishProposal(*proposal, error, {});
            return;
        }
        auto timer = std::make_shared<boost::asio::steady_timer>(control_, options_.retryDelay);
        timer->async_wait([self = shared_from_this(), proposal, timer](auto) { self->fetchForProposal(proposal); });
    }

    void acceptProposal(const Proposal &proposal)
    {
        applyIfNewer(proposal.stored.configuration, "operator");
        finishProposal(proposal, {}, proposal.stored.configuration);
    }

    void finishProposal(const Proposal &proposal, std::error_code error, ConfigurationText present)
    {
        boost::asio::post(control_, [handler = proposal.handler, error, present = std::move(present)] { handler(error, present); });
    }

    boost::asio::any_io_executor control_;
    const Clock &clock_;
    ObjectStore &store_;
    ConfigurationAgentOptions options_;
    boost::asio::steady_timer retryTimer_;
    PeerCalls *peerCalls_ = nullptr;
    GenerationTracker tracker_;
    bool isWatcher_ = false;
    bool isClosed_ = false;
    bool isFetchingFromPeer_ = false;
    std::uint64_t watchRound_ = 0; // incremented by each change of the watcher role; callbacks of an earlier round are ignored
    std::uint64_t proposalCount_ = 0;
    std::uint64_t invalidConfigurationCount_ = 0;
};

ConfigurationAgent::ConfigurationAgent(boost::asio::any_io_executor control, const Clock &clock, ObjectStore &store, ConfigurationAgentOptions options)
    : impl_(std::make_shared<Impl>(std::move(control), clock, store, std::move(options)))
{
}

ConfigurationAgent::~ConfigurationAgent()
{
    impl_->close();
}

void ConfigurationAgent::setChangeHandler(ChangeHandler handler)
{
    impl_->onChange = std::move(handler);
}

void ConfigurationAgent::setRevisionHandler(RevisionHandler handler)
{
    impl_->onRevision = std::move(handler);
}

void ConfigurationAgent::setPeers(PeerCalls &calls)
{
    impl_->setPeers(calls);
}

void ConfigurationAgent::setWatcher(bool isWatcher)
{
    impl_->setWatcher(isWatcher);
}

void ConfigurationAgent::recordMember(const PeerTarget &member, std::uint64_t generation, std::uint64_t digest)
{
    impl_->recordMember(member, generation, digest);
}

void ConfigurationAgent::forgetMember(const MemberId &member)
{
    impl_->tracker().forgetMember(member);
}

void ConfigurationAgent::propose(std::string_view documents, std::uint64_t expectedGeneration, ProposeHandler handler)
{
    impl_->propose(documents, expectedGeneration, std::move(handler));
}

const GenerationTracker &ConfigurationAgent::tracker() const
{
    return impl_->tracker();
}

std::uint64_t ConfigurationAgent::invalidConfigurationCount() const
{
    return impl_->invalidConfigurationCount();
}

}
