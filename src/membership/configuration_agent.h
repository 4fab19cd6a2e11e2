#pragma once

#include "membership/generation_tracker.h"
#include "objects/object_store.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

namespace carawaypoint
{

struct ConfigurationAgentOptions {
    std::string writer; // unique per process; prefix of the writer token in `config/current`
    Duration watchTimeout = seconds(10); // wait of one watch call; an event that a watch missed is found after this time
    Duration retryDelay = seconds(1); // before a failed platform call is repeated
    unsigned maxProposalRetries = 5; // of one proposal, after platform calls whose response was lost
};

/// Keeps the highest configuration generation in force in this daemon. A watcher reads it from the platform, other daemons
/// fetch it from peers. Used on the control thread only; the object store has to call its handlers there too.
class ConfigurationAgent
{
public:
    /// @p text is the JSON text of the documents.
    using ChangeHandler = std::function<void(const ConfigurationText &)>;
    using RevisionHandler = std::function<void(std::uint64_t revision)>;
    /// Receives the current configuration with ConfigConflict, and the accepted one on success.
    using ProposeHandler = std::function<void(std::error_code, ConfigurationText)>;

    ConfigurationAgent(boost::asio::any_io_executor control, const Clock &clock, ObjectStore &store, ConfigurationAgentOptions options);
    ~ConfigurationAgent();

    void setChangeHandler(ChangeHandler handler);
    /// @p handler receives the revision of each response of the platform.
    void setRevisionHandler(RevisionHandler handler);
    /// Uses @p calls to fetch configurations from peers.
    void setPeers(PeerCalls &calls);

    /// Starts or stops watching the platform object `config/current`.
    void setWatcher(bool isWatcher);
    /// Stores the generation that @p member reported in an exchange, and fetches the configuration from it when it is higher.
    void recordMember(const PeerTarget &member, std::uint64_t generation, std::uint64_t digest);
    void forgetMember(const MemberId &member);

    /// Writes @p documents as the generation after @p expectedGeneration. Errors: ConfigInvalid (not a JSON object),
    /// ConfigConflict, ConfigTooLarge, PlatformUnavailable (no write is known to be accepted, but one may still take effect),
    /// ConfigNotInForce (a later generation is stored; the proposal may have been accepted and replaced).
    void propose(std::string_view documents, std::uint64_t expectedGeneration, ProposeHandler handler);

    const GenerationTracker &tracker() const;
    std::uint64_t invalidConfigurationCount() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

/// Value of the object `config/current`.
struct StoredConfiguration {
    std::string writer;
    ConfigurationText configuration;
};
std::string formatStoredConfiguration(const StoredConfiguration &stored);
/// Empty when @p value is malformed.
std::optional<StoredConfiguration> parseStoredConfiguration(std::string_view value);
/// Serialises the JSON object @p documents in the form that digests are computed from; empty when it is not a JSON object.
std::optional<std::string> normaliseDocuments(std::string_view documents);

}
