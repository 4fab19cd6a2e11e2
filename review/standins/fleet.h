#pragma once

#include "soak/gateway_process.h"
#include "soak/object_service.h"
#include "standins/http_listener.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <chrono>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace review
{

namespace asio = boost::asio;
namespace json = boost::json;
using asio::ip::tcp;
using Clock = std::chrono::steady_clock;
using carawaypoint::soak::ObjectService;
using carawaypoint::standins::HttpExchange;
using carawaypoint::standins::sleepFor;
using std::chrono::milliseconds;

/// Exit codes of a case.
enum class Verdict : int {
    Held = 0,
    Broken = 1,
    NotRun = 2,
};

struct Options {
    std::string binary; // program of the gateway
    std::string settingsTemplate; // of the deploy file
    std::string workDir; // for settings and logs
    std::string record; // file that says what was sent, answered and run
    bool hasTrouble = true;
};

/// Writes what happens, with the seconds since the start.
class Record
{
public:
    explicit Record(const std::string &path);
    void note(const std::string &text);
    double seconds() const;

private:
    std::ofstream file_;
    Clock::time_point startedAt_ = Clock::now();
};

/// One run of a request at a server.
struct Run {
    std::string server;
    std::string service;
    Clock::time_point arrivedAt;
};

/// What the client got.
struct Answer {
    bool isComplete = false;
    unsigned status = 0;
    std::string body;
    std::string error; // when the connection ended without a complete answer
    bool isKept = false;
    Clock::time_point sentAt;
    Clock::time_point endedAt;
};

struct Request {
    std::string id;
    std::string path;
    std::string key = "key-one";
    unsigned deadlineMs = 8000;
    std::string body = "{}";
};

class Fleet;

/// A client's connection to a gateway. Requests follow each other on it.
class ClientConnection
{
public:
    ClientConnection(Fleet &fleet, tcp::endpoint gateway);
    asio::awaitable<bool> open(milliseconds limit = milliseconds(1000));
    asio::awaitable<Answer> send(Request request);
    bool isOpen() const;
    void close();

private:
    asio::awaitable<Answer> exchange(const Request &request);

    Fleet &fleet_;
    tcp::endpoint gateway_;
    boost::beast::tcp_stream stream_;
};

class Fleet;

/// A server of a plain service. It registers in the store, runs each request for a set time and answers it with a signature.
class PlainServer
{
public:
    PlainServer(Fleet &fleet, std::string id, std::string service, std::string zone, tcp::endpoint endpoint, milliseconds work, unsigned slots);
    void start();
    /// Removes the registration and goes on serving.
    void unregister();
    /// Ends as a process does: open connections are closed and nothing listens.
    void end();
    /// Streams this many events, one for each @p interval, instead of one body.
    void stream(unsigned events, milliseconds interval);
    /// Ends just after the first event of a stream whose request has this body, and calls @p whenCrashed.
    void crashOn(std::string body, std::function<void()> whenCrashed);
    const std::string &id() const
    {
        return id_;
    }

private:
    asio::awaitable<void> handle(HttpExchange &exchange);

    Fleet &fleet_;
    std::string id_;
    std::string service_;
    std::string zone_;
    tcp::endpoint endpoint_;
    milliseconds work_;
    unsigned slots_;
    std::uint64_t born_ = 0;
    unsigned events_ = 0;
    std::string crashBody_;
    std::function<void()> whenCrashed_;
    milliseconds interval_{};
    std::shared_ptr<carawaypoint::standins::HttpListener> listener_;
};

/// A small deployment: the platform's store, gateways as processes, servers and the runs that they saw.
class Fleet
{
public:
    explicit Fleet(const Options &options);
    ~Fleet();

    asio::io_context &io()
    {
        return io_;
    }
    ObjectService &store()
    {
        return *store_;
    }
    Record &record()
    {
        return record_;
    }
    tcp::endpoint storeEndpoint() const
    {
        return endpoint(250, 9300);
    }
    /// Address @p host of this run's own part of the loopback network.
    tcp::endpoint endpoint(unsigned host, unsigned short port) const;

    /// Adds and starts a gateway that reaches the store at @p store.
    void startGateway(const std::string &zone, const tcp::endpoint &store);
    /// Starts an added gateway again that has ended.
    void restartGateway(std::size_t number);
    carawaypoint::soak::GatewayProcess &gateway(std::size_t number)
    {
        return *gateways_.at(number);
    }
    std::size_t gatewayCount() const
    {
        return gateways_.size();
    }
    tcp::endpoint callersOf(std::size_t number) const
    {
        return endpoint(static_cast<unsigned>(number) + 1, 8227);
    }
    /// Whether the gateway answers 200 to the balancer's readiness check.
    asio::awaitable<bool> isReady(std::size_t number);
    /// Waits until all gateways are ready. Returns false after @p limit.
    asio::awaitable<bool> waitUntilReady(milliseconds limit);

    PlainServer &addServer(const std::string &id, const std::string &service, const std::string &zone, milliseconds work, unsigned slots = 6);

    void recordRun(const std::string &request, Run run);
    const std::vector<Run> &runsOf(const std::string &request) const;

    /// Runs @p scenario to its end and returns its verdict.
    Verdict run(asio::awaitable<Verdict> scenario);

private:
    Options options_;
    std::string prefix_;
    asio::io_context io_{1};
    Record record_;
    std::unique_ptr<ObjectService> store_;
    std::vector<std::unique_ptr<carawaypoint::soak::GatewayProcess>> gateways_;
    std::vector<std::unique_ptr<PlainServer>> servers_;
    std::map<std::string, std::vector<Run>> runs_;
};

json::object makeRoute(const std::string &prefix, const std::string &kind, const std::string &service, unsigned timeoutMs, bool isResumable = false);
/// A configuration with the given routes. Each of @p keys belongs to a tenant of its own.
json::object makeConfig(std::uint64_t version, json::array routes, json::array services, const std::vector<std::string> &keys);

// The cases.
asio::awaitable<Verdict> foreignEntry(Fleet &fleet, bool hasTrouble);
asio::awaitable<Verdict> lateRemoval(Fleet &fleet, bool hasTrouble);
asio::awaitable<Verdict> crashingRequest(Fleet &fleet, bool hasTrouble);
asio::awaitable<Verdict> requestDuringStop(Fleet &fleet, bool hasTrouble);

}
