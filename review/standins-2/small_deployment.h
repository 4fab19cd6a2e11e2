// A small deployment for review cases: stand-ins of the platform's store, of plain runners and of clients in one process, and real gateways as
// child processes. All of it runs on loopback addresses, on one thread and the real clock.
#pragma once

#include "standins/http_listener.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include <chrono>
#include <deque>
#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review
{

namespace asio = boost::asio;
namespace json = boost::json;
using Clock = std::chrono::steady_clock;
using carawaypoint::standins::HttpExchange;
using carawaypoint::standins::HttpListener;
using carawaypoint::standins::sleepFor;

/// Settings of the deployment that the pages give for the small sites.
constexpr std::chrono::milliseconds DrainTime{2000}; // drain_ms
constexpr std::chrono::milliseconds ContactTime{3000}; // contact_ms
constexpr std::chrono::milliseconds ConfigApplyTime{2000}; // config_apply_ms
constexpr std::chrono::milliseconds HeartbeatTime{1200}; // heartbeat_ms
constexpr std::chrono::milliseconds RecoveryTime{12000}; // recovery_s

/// Writes lines with the time since the start of the run to a file.
class Record
{
public:
    explicit Record(const std::string &path)
        : file_(path)
        , startedAt_(Clock::now())
    {
    }
    void line(const std::string &text);
    double seconds(Clock::time_point at) const
    {
        return std::chrono::duration<double>(at - startedAt_).count();
    }

private:
    std::ofstream file_;
    Clock::time_point startedAt_;
};

/// The platform's store: objects by kind and name, conditional writes, lists and watches.
class Store
{
public:
    Store(const asio::any_io_executor &executor, const asio::ip::tcp::endpoint &endpoint);
    void start()
    {
        listener_->start();
    }
    /// Writes and removals of the operator, the runners and other writers. @p spec is JSON text and is answered as it was written.
    void put(const std::string &kind, const std::string &name, const std::string &spec);
    void remove(const std::string &kind, const std::string &name);
    /// Connections that are open now go silent for good; new ones work.
    void silenceOpenConnections()
    {
        listener_->makeOpenConnectionsUnresponsive();
    }
    /// Drops the history, so that a watch from an earlier revision gets 410.
    void discardHistory()
    {
        events_.clear();
        historyStart_ = revision_;
    }
    /// Number of watch calls of @p kind so far.
    unsigned watchCount(const std::string &kind) const
    {
        const auto found = watchCounts_.find(kind);
        return found == watchCounts_.end() ? 0 : found->second;
    }

private:
    struct Object {
        std::uint64_t revision = 0;
        std::string spec;
    };
    struct Event {
        std::uint64_t revision = 0;
        std::string kind;
        std::string text;
    };
    asio::awaitable<void> handle(HttpExchange &exchange);
    asio::awaitable<void> watch(HttpExchange &exchange, std::string kind);
    std::string list(const HttpExchange &exchange, const std::string &kind) const;
    unsigned write(HttpExchange &exchange, const std::string &kind, std::string name, std::string &answer);
    static std::string describe(const std::string &name, const Object &object);

    std::shared_ptr<HttpListener> listener_;
    std::map<std::string, std::map<std::string, Object>> kinds_;
    std::deque<Event> events_;
    std::map<std::string, unsigned> watchCounts_;
    std::uint64_t revision_ = 100;
    std::uint64_t historyStart_ = 0;
};

/// One run of a request at a runner.
struct Run {
    std::string attempt;
    std::string runner;
    std::string service;
    Clock::time_point at;
};

/// A plain runner. It registers itself, drains before it ends, and drops its connections when it ends.
class Runner
{
public:
    Runner(const asio::any_io_executor &executor,
           Store &store,
           Record &record,
           std::vector<Run> &runs,
           std::string id,
           std::string service,
           const asio::ip::tcp::endpoint &endpoint);
    void start();
    /// Reports `draining`, serves for @p serviceTime after that and ends.
    asio::awaitable<void> leave(std::chrono::milliseconds serviceTime);
    const std::string &id() const
    {
        return id_;
    }
    Clock::time_point drainingSince() const
    {
        return drainingSince_;
    }
    /// Attempts that were at work when the runner ended.
    const std::vector<std::string> &cutAttempts() const
    {
        return cut_;
    }

private:
    asio::awaitable<void> handle(HttpExchange &exchange);
    asio::awaitable<void> heartbeat();
    void publish();

    asio::any_io_executor executor_;
    Store &store_;
    Record &record_;
    std::vector<Run> &runs_;
    std::string id_;
    std::string service_;
    std::shared_ptr<HttpListener> listener_;
    std::uint64_t born_ = 0;
    std::uint64_t seq_ = 0;
    bool isDraining_ = false;
    bool hasEnded_ = false;
    Clock::time_point drainingSince_{};
    std::vector<std::string> working_;
    std::vector<std::string> cut_;
};

/// What a client has sent and received.
struct Attempt {
    std::string id;
    unsigned gateway = 0;
    Clock::time_point sentAt;
    unsigned status = 0; // 0: the connection ended without a complete answer
    bool isSigned = false;
};

/// A gateway as a child process, started with the command of the deploy file.
class Gateway
{
public:
    Gateway(std::string binary,
            const std::string &folder,
            unsigned number,
            const std::string &address,
            const std::string &zone,
            const asio::ip::tcp::endpoint &store);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;
    void start();
    void signal(int number) const;
    /// Waits until the process has ended; kills it after @p limit.
    asio::awaitable<bool> join(std::chrono::milliseconds limit);
    asio::ip::tcp::endpoint callers() const;
    asio::ip::tcp::endpoint readiness() const;

private:
    std::string binary_;
    std::string settingsPath_;
    std::string logPath_;
    std::string address_;
    pid_t pid_ = -1;
};

/// A request of a client.
struct RequestSpec {
    std::string method;
    std::string path;
    std::string id;
    std::chrono::milliseconds deadline{1000};
    std::string body;
    carawaypoint::standins::Headers headers;
};

/// Sends one request on a new connection and reads the answer. Returns the status, 0 when there was no complete answer.
asio::awaitable<Attempt> sendRequest(asio::ip::tcp::endpoint endpoint, RequestSpec spec);
/// Status of a readiness check, 0 when there was no answer.
asio::awaitable<unsigned> checkReadiness(asio::ip::tcp::endpoint endpoint);

/// A streaming route that may be resumed, and a service of model runners whose replicas have two members.
json::object makeStreamRoute(const std::string &prefix, const std::string &service);
json::object makeModelService(const std::string &service, const std::string &model);
json::object makeRoute(const std::string &prefix, const std::string &kind, const std::string &service, unsigned attempts);
std::string makeConfig(std::uint64_t version, json::array routes, const std::vector<std::string> &services, json::array otherServices = {});

}
