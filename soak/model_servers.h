#pragma once

#include "soak/object_service.h"
#include "soak/violations.h"

#include <chrono>
#include <optional>
#include <set>

namespace carawaypoint::soak
{

/// Defects of the servers that are injected to show that the checks detect them.
enum class Defect : std::uint8_t {
    None,
    RunsTwice, // runs each call to a plain service twice
    FalseNotRun, // reports not-run after running a call
    ShortStream, // ends streams two events early as if they were complete
    EarlyOpen, // members report that they are ready before they have loaded
};

/// Stand-ins of the users' model servers and plain servers. They check the orders and requests that reach them.
class ModelServers
{
public:
    using Clock = std::chrono::steady_clock;
    static constexpr std::chrono::milliseconds StallTimeout{2000};
    static constexpr unsigned EventsPerStream = 12;

    ModelServers(boost::asio::any_io_executor executor, ObjectService &store, Violations &violations, std::string addressPrefix, Defect defect);

    /// Adds a server and returns its id. Gateways connect to @p publicAddress, which may belong to a proxy.
    std::string addServer(const std::string &service, const std::string &domain, const std::string &publicAddress);
    /// Returns the address that the server listens on.
    boost::asio::ip::tcp::endpoint endpointOf(const std::string &id) const;
    /// Publishes the servers' records periodically and removes those that were not published for RegistrationTimeout.
    boost::asio::awaitable<void> heartbeat();

    void setUnreachable(const std::string &id);
    void restart(const std::string &id);
    void setDraining(const std::string &id, bool isDraining);
    void setIsolatedFromStore(const std::string &id, bool isIsolated);
    std::vector<std::string> serverIds(const std::string &service) const;

    /// Number of times that the request was run.
    unsigned runCount(const std::string &request) const;
    /// Number of complete replicas whose head serves requests.
    unsigned openReplicas() const;
    /// Returns the services that ran the request.
    std::set<std::string> servicesThatRan(const std::string &request) const;

private:
    /// Membership of a server in a replica; "group" is the platform's name of a replica.
    struct Group {
        std::string name;
        std::uint64_t epoch = 0;
        std::vector<std::string> members;
        std::string state = "joining";
        unsigned rank = 0;
    };
    struct Server {
        std::string id;
        std::string service;
        std::string domain;
        std::string publicAddress;
        boost::asio::ip::tcp::endpoint endpoint;
        std::shared_ptr<standins::HttpListener> listener;
        std::uint64_t startedAtMs = 0; // since the Unix epoch
        std::uint64_t highestEpoch = 0; // of all join orders
        std::string model; // of the last join order
        std::string lastModel; // of the last completed load
        std::set<std::string> staged;
        std::optional<Group> group;
        bool isUnreachable = false;
        bool isDraining = false;
        bool isIsolatedFromStore = false;
        unsigned restartCount = 0;
        Clock::time_point lastReportAt{};
    };
    using Exchange = standins::HttpExchange;

    boost::asio::awaitable<void> handle(Server &server, Exchange &exchange);
    boost::asio::awaitable<void> handleOrder(Server &server, Exchange &exchange);
    boost::asio::awaitable<void> handleRequest(Server &server, Exchange &exchange);
    static std::chrono::milliseconds eventInterval(std::string_view request);
    boost::asio::awaitable<void> serveStream(Server &server, Exchange &exchange, std::string request);
    unsigned joinReplica(Server &server, const boost::json::value &order);
    boost::asio::awaitable<void> finishLoad(Server &server, std::uint64_t epoch, std::chrono::milliseconds loadTime);
    boost::asio::awaitable<void> openReplica(Server &server, std::uint64_t epoch);
    bool isReplicaComplete(const Server &head) const;
    void checkMembersWereReady(const Server &server);
    void publishRecord(Server &server);
    void recordRun(const Server &server, const std::string &request);

    boost::asio::any_io_executor executor_;
    ObjectService &store_;
    Violations &violations_;
    std::string addressPrefix_;
    Defect defect_;
    std::map<std::string, std::unique_ptr<Server>> servers_;
    std::map<std::string, unsigned> runs_; // by request id
    std::map<std::string, std::set<std::string>> runServices_; // by request id
    std::set<std::string> readyMembers_; // "group/epoch/member" of each member that has been ready
};

}
