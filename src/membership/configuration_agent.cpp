#include "membership/configuration_agent.h"

#include "core/result_code.h"
#include "observe/log.h"

#include <boost/asio/post.hpp>

#include <utility>

namespace carawaypoint
{

namespace
{

constexpr std::string_view Kind = "config";
constexpr std::string_view Name = "current";

bool isAnswerLost(std::error_code error)
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
            list(round);
        }
    }

    void noteMember(const PeerTarget &member, std::uint64_t generation, std::uint64_t digest)
    {
        if (tracker_.noteMember(member.id, generation, digest, clock_.now()) == GenerationTracker::Outcome::DigestFault) {
            reportFault(member.id.str(), generation);
        }
        if (generation <= tracker_.generation() || isFetching_ || calls_ == nullptr) {
            return;
        }
        isFetching_ = true;
        calls_->fetchConfig(member, [self = shared_from_this(), member](const PeerReply &reply, ConfigurationText text) {
            self->isFetching_ = false;
            if (reply.error || self->isClosed_) {
                return;
            }
            if (normaliseDocuments(text.text) != text.text) {
                self->reportFault(member.id.str(), text.generation);
            } else {
                self->offer(std::move(text), member.id.str());
            }
        });
    }

    void propose(std::string_view documents, std::uint64_t expectedGeneration, ProposeHandler handler)
    {
        auto proposal = std::make_shared<Proposal>();
        proposal->expectedGeneration = expectedGeneration;
        proposal->handler = std::move(handler);
        proposal->attemptsLeft = options_.proposeAttempts;
        auto text = normaliseDocuments(documents);
        if (!text) {
            finish(*proposal, ResultCode::ConfigInvalid, {});
            return;
        }
        proposal->stored.writer = options_.writer + "-" + std::to_string(++proposalCount_);
        proposal->stored.configuration = {expectedGeneration + 1, configurationDigest(*text), *text};
        proposal->value = formatStoredConfiguration(proposal->stored);
        if (proposal->value.size() > ObjectStore::MaxValueBytes) {
            finish(*proposal, ResultCode::ConfigTooLarge, {});
            return;
        }
        readForProposal(proposal);
    }

    ChangeHandler onChange;
    RevisionHandler onRevision;

    void setPeers(PeerCalls &calls)
    {
        calls_ = &calls;
    }
    GenerationTracker &tracker()
    {
        return tracker_;
    }
    std::uint64_t faultCount() const
    {
        return faultCount_;
    }

private:
    struct Proposal {
        std::uint64_t expectedGeneration = 0;
        StoredConfiguration stored;
        std::string value;
        unsigned attemptsLeft = 0;
        bool isWritten = false; // a write was sent whose outcome is not known
        std::uint64_t writtenOver = 0; // version that the write was conditional on
        ProposeHandler handler;
    };
    using ProposalPtr = std::shared_ptr<Proposal>;

    void offer(ConfigurationText text, const std::string &source)
    {
        const auto generation = text.generation;
        switch (tracker_.offer(std::move(text))) {
        case GenerationTracker::Outcome::Applied:
            logDecision("configuration", std::to_string(generation), "applied", "higher than the generation in force", {{"source", source}});
            if (onChange) {
                onChange(tracker_.inForce());
            }
            break;
        case GenerationTracker::Outcome::DigestFault:
            reportFault(source, generation);
            break;
        case GenerationTracker::Outcome::Older:
        case GenerationTracker::Outcome::Unchanged:
            break;
        }
    }

    void reportFault(const std::string &source, std::uint64_t generation)
    {
        ++faultCount_;
        logLine(LogLevel::Error, "configuration with a malformed text, or another text than this generation has",
                {{"source", source}, {"generation", generation}});
    }

    void retry(std::uint64_t round)
    {
        retryTimer_.expires_after(options_.retryDelay);
        retryTimer_.async_wait([self = shared_from_this(), round](auto error) {
            if (!error) {
                self->list(round);
            }
        });
    }

    /// Whether the callback belongs to the watch in progress.
    bool isStale(std::uint64_t round) const
    {
        return isClosed_ || round != watchRound_;
    }

    void list(std::uint64_t round)
    {
        if (isStale(round)) {
            return;
        }
        store_.list(Kind, [self = shared_from_this(), round](std::error_code error, const ListResult &result) {
            if (self->isStale(round)) {
                return;
            }
            if (error) {
                self->retry(round);
                return;
            }
            self->noteRevision(result.revision);
            const StoredObject *current = nullptr;
            for (const auto &object : result.objects) {
                current = object.name == Name ? &object : current;
            }
            if (!self->takeFromPlatform(current)) {
                self->writeBack(round, current != nullptr ? WriteCondition::ifVersion(current->version) : WriteCondition::ifAbsent());
                return;
            }
            self->watch(round, result.revision);
        });
    }

    void watch(std::uint64_t round, std::uint64_t revision)
    {
        store_.watch(Kind, revision, options_.watchWait, [self = shared_from_this(), round, revision](std::error_code error, const WatchResult &result) {
            if (self->isStale(round)) {
                return;
            }
            if (error) {
                self->retry(round);
                return;
            }
            self->noteRevision(result.revision);
            // A revision that went back means that the platform was restored from an older copy.
            if (result.mustList || result.revision < revision) {
                self->list(round);
                return;
            }
            for (const auto &event : result.events) {
                if (event.object.name != Name) {
                    continue;
                }
                if (!self->takeFromPlatform(event.isRemoved ? nullptr : &event.object)) {
                    self->writeBack(round, event.isRemoved ? WriteCondition::ifAbsent() : WriteCondition::ifVersion(event.object.version));
                    return;
                }
            }
            self->watch(round, result.revision);
        });
    }

    void noteRevision(std::uint64_t revision)
    {
        if (onRevision) {
            onRevision(revision);
        }
    }

    /// Returns whether the platform is as new as this daemon.
    bool takeFromPlatform(const StoredObject *object)
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
        offer(std::move(stored->configuration), "platform");
        return !isOlder;
    }

    void writeBack(std::uint64_t round, WriteCondition condition)
    {
        const StoredConfiguration stored{options_.writer + "-restore", tracker_.inForce()};
        logDecision("configuration", std::to_string(tracker_.generation()), "written back", "the platform offered a lower generation");
        store_.put(Kind, Name, formatStoredConfiguration(stored), condition, [self = shared_from_this(), round](std::error_code, std::uint64_t) {
            // Whatever the outcome, the next list shows it.
            if (!self->isStale(round)) {
                self->retry(round);
            }
        });
    }

    void readForProposal(const ProposalPtr &proposal)
    {
        store_.fetch(Kind, Name, [self = shared_from_this(), proposal](std::error_code error, const StoredObject &object) {
            if (error && error != ResultCode::ObjectNotFound) {
                self->retryProposal(proposal, error);
                return;
            }
            std::optional<StoredConfiguration> stored;
            if (!error) {
                stored = parseStoredConfiguration(object.value);
                if (!stored) {
                    self->finish(*proposal, ResultCode::ObjectMalformed, {});
                    return;
                }
                if (self->resolveWritten(proposal, *stored, object.version)) {
                    return;
                }
            }
            // A platform that is behind this daemon gets the generation in force back first.
            const auto &present = stored && stored->configuration.generation >= self->tracker_.generation() ? stored->configuration : self->tracker_.inForce();
            if (present.generation != proposal->expectedGeneration || (stored && stored->configuration.generation != present.generation)
                || (!stored && present.generation != 0)) {
                self->finish(*proposal, ResultCode::ConfigConflict, present);
                return;
            }
            self->write(proposal, stored ? WriteCondition::ifVersion(object.version) : WriteCondition::ifAbsent());
        });
    }

    /// Decides the outcome of an earlier write of @p proposal from what is stored now. Returns whether it is decided.
    bool resolveWritten(const ProposalPtr &proposal, const StoredConfiguration &stored, std::uint64_t version)
    {
        if (!proposal->isWritten || version == proposal->writtenOver) {
            return false;
        }
        if (stored.writer == proposal->stored.writer) {
            accept(*proposal);
            return true;
        }
        // With our generation by another writer ours was refused; with a later one ours may have been in between.
        const bool isRefused = stored.configuration.generation <= proposal->stored.configuration.generation;
        finish(*proposal, isRefused ? ResultCode::ConfigConflict : ResultCode::ConfigNotInForce, stored.configuration);
        return true;
    }

    void write(const ProposalPtr &proposal, WriteCondition condition)
    {
        proposal->isWritten = true;
        proposal->writtenOver = condition.version;
        store_.put(Kind, Name, proposal->value, condition, [self = shared_from_this(), proposal](std::error_code error, std::uint64_t) {
            if (!error) {
                self->accept(*proposal);
            } else if (isAnswerLost(error)) {
                self->retryProposal(proposal, error);
            } else if (error == ResultCode::VersionConflict) {
                self->readForProposal(proposal);
            } else {
                self->finish(*proposal, error == ResultCode::ObjectTooLarge ? ResultCode::ConfigTooLarge : error, {});
            }
        });
    }

    void retryProposal(const ProposalPtr &proposal, std::error_code error)
    {
        if (isClosed_ || proposal->attemptsLeft-- == 0) {
            finish(*proposal, error, {});
            return;
        }
        auto timer = std::make_shared<boost::asio::steady_timer>(control_, options_.retryDelay);
        timer->async_wait([self = shared_from_this(), proposal, timer](auto) { self->readForProposal(proposal); });
    }

    void accept(const Proposal &proposal)
    {
        offer(proposal.stored.configuration, "operator");
        finish(proposal, {}, proposal.stored.configuration);
    }

    void finish(const Proposal &proposal, std::error_code error, ConfigurationText present)
    {
        boost::asio::post(control_, [handler = proposal.handler, error, present = std::move(present)] { handler(error, present); });
    }

    boost::asio::any_io_executor control_;
    const Clock &clock_;
    ObjectStore &store_;
    ConfigurationAgentOptions options_;
    boost::asio::steady_timer retryTimer_;
    PeerCalls *calls_ = nullptr;
    GenerationTracker tracker_;
    bool isWatcher_ = false;
    bool isClosed_ = false;
    bool isFetching_ = false;
    std::uint64_t watchRound_ = 0; // callbacks of an earlier round are dropped
    std::uint64_t proposalCount_ = 0;
    std::uint64_t faultCount_ = 0;
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

void ConfigurationAgent::noteMember(const PeerTarget &member, std::uint64_t generation, std::uint64_t digest)
{
    impl_->noteMember(member, generation, digest);
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

std::uint64_t ConfigurationAgent::faultCount() const
{
    return impl_->faultCount();
}

}
