#pragma once

#include "core/clock.h"

namespace carawaypoint
{

struct ServerLinkMonitorSettings {
    Duration silence{milliseconds(700)}; // without a byte of any server while requests wait for some
    unsigned failedConnects = 3; // one after the other, with no other one established meanwhile
    Duration checkInterval{seconds(1)}; // between checks that found the links sound, or could not tell
    Duration recheckInterval{milliseconds(500)}; // between checks while the links are lost
};

/// What a check of the links to the servers has found.
enum class LinkCheckResult : std::uint8_t {
    Sound, // a server accepts connections from this gateway
    Lost, // no server does, but one accepts or, when the cut began, accepted connections from another gateway
    Unknown, // no server accepts connections from any gateway that was asked
};

/// Decides when a gateway checks its links to the backend servers, and whether it is cut off from all of them. Does no I/O; the time is passed in.
///
/// Silence or failures alone prove nothing: a sound server may fall silent for a second, and servers end. Only a check, which compares this gateway's
/// connections with those of others, decides.
class ServerLinkMonitor
{
public:
    explicit ServerLinkMonitor(ServerLinkMonitorSettings settings = {});

    /// This gateway itself tried to connect to a server.
    void recordConnect(bool isConnected);
    void recordRequestStart(TimePoint now);
    void recordRequestEnd();
    /// A server has sent bytes.
    void recordData(TimePoint now);
    bool isCheckDue(TimePoint now) const;
    void recordCheckStart(TimePoint now);
    /// Returns whether isCutOff() has changed.
    bool recordCheckResult(LinkCheckResult result, TimePoint now);
    bool isChecking() const
    {
        return isChecking_;
    }
    /// Whether no server can be reached from here, while other gateways reach some.
    bool isCutOff() const
    {
        return isCutOff_;
    }

private:
    ServerLinkMonitorSettings settings_;
    unsigned failedConnects_ = 0; // since the last connection that was established
    unsigned requests_ = 0; // at servers
    TimePoint quietSince_{};
    TimePoint checkedAt_{};
    bool isChecking_ = false;
    bool isCutOff_ = false;
};

}
