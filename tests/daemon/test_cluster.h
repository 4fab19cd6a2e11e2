#pragma once

#include "core/ids.h"
#include "daemon/local_http.h"
#include "load/load_generator.h"

#include <boost/json/object.hpp>

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <vector>

namespace carawaypoint
{

/// Runs a small system of real processes on separate loopback addresses: a platform, engines in each zone, a booking service
/// and entry daemons. The destructor kills all processes.
class TestCluster
{
public:
    struct Options {
        unsigned zones = 3;
        unsigned daemons = 7;
        unsigned domainsPerZone = 2;
        unsigned vmsPerDomain = 5;
        bool engineChecksFencing = true;
        unsigned stepMs = 5;
        unsigned loadMs = 500;
        unsigned replicasPerZone = 2;
    };

    explicit TestCluster(const Options &options);
    ~TestCluster();
    TestCluster(const TestCluster &) = delete;
    TestCluster &operator=(const TestCluster &) = delete;

    /// Starts all processes, applies the configuration and waits until all replicas serve. Fails the test otherwise.
    void start();

    /// @name Processes, numbered from 1.
    /// @{
    void startDaemon(unsigned number);
    void signalDaemon(unsigned number, int signal);
    /// Waits for a daemon to exit and returns its exit status, or -1 after @p limit.
    int waitForDaemon(unsigned number, Duration limit);
    /// @}

    Endpoint entry(unsigned daemon) const;
    Endpoint admin(unsigned daemon) const;
    Endpoint platform(unsigned zone) const;
    Endpoint engineControl(unsigned zone) const;
    Endpoint serviceControl() const;
    std::vector<Endpoint> entries() const;

    void setPlatformFault(std::string_view json) const;
    void setEngineFault(unsigned zone, std::string_view json) const;
    void setServiceFault(std::string_view json) const;
    /// Audits of the engines of all zones combined: numbers are added, for durations the maximum is taken.
    boost::json::object engineAudit() const;
    /// Number of executions by idempotency key.
    std::map<std::string, std::uint64_t> bookingExecutions() const;
    /// `GET /admin/status` of a daemon.
    boost::json::object status(unsigned daemon) const;
    /// Number of replicas that the daemon's status shows as complete.
    unsigned completeReplicas(unsigned daemon) const;
    /// Runs the command line tool with @p arguments and returns its exit code; its output goes to @p output.
    int runTool(const std::vector<std::string> &arguments, std::string &output) const;

    LoadTarget target() const;
    const std::string &directory() const
    {
        return directory_;
    }
    const Options &options() const
    {
        return options_;
    }
    /// Directory with base.ini and the overlays that start() applied.
    std::string configDirectory() const
    {
        return directory_ + "/config";
    }

private:
    unsigned zoneOf(unsigned daemon) const
    {
        return (daemon - 1) % options_.zones + 1;
    }
    Endpoint at(unsigned zone, unsigned host, unsigned port) const;
    pid_t spawn(const std::string &name, const std::vector<std::string> &command) const;
    void startStandins();
    void writeConfig() const;
    void applyConfig() const;
    static void stopProcess(pid_t process);

    Options options_;
    std::string build_;
    std::string directory_;
    unsigned networkOctet_; // second octet of the addresses
    unsigned zoneOctetBase_; // third octet of the addresses minus the zone number
    std::vector<pid_t> standins_;
    std::map<unsigned, pid_t> daemons_;
};

/// Polls @p condition until it holds; false after @p limit.
bool waitUntil(Duration limit, const std::function<bool()> &condition);

}
