// Stand-in of a model runner that forms replicas with others by orders, and that a request may crash.
#pragma once

#include "review/standins-2/small_deployment.h"

#include <optional>
#include <set>

namespace review
{

constexpr std::chrono::milliseconds StallTime{6000}; // stall_ms
constexpr std::chrono::milliseconds FormTime{300}; // form_ms
constexpr std::chrono::milliseconds LoadTime{1500}; // load_s of the stand-in's model
constexpr std::chrono::milliseconds StagedLoadTime{400}; // warm_s
constexpr std::chrono::milliseconds RejoinTime{200}; // of the model of the last group
constexpr std::chrono::milliseconds CrashRestartTime{3000}; // a runner that crashed is back after some seconds
constexpr unsigned EventsPerStream = 10;
constexpr unsigned EventsPerLongStream = 45;
constexpr std::chrono::milliseconds EventTime{60};

/// A crash of a runner by a request.
struct Crash {
    std::string attempt;
    std::string runner;
    Clock::time_point at;
};

class ModelFleet;

class ModelRunner
{
public:
    ModelRunner(ModelFleet &fleet, unsigned number, const std::string &domain, const asio::ip::tcp::endpoint &endpoint);
    void start();
    bool isAlive() const
    {
        return isAlive_;
    }

private:
    friend class ModelFleet;
    struct Group {
        std::string name;
        std::uint64_t epoch = 0;
        std::vector<std::string> members;
        std::string state = "joining";
        unsigned rank = 0;
    };
    asio::awaitable<void> handle(HttpExchange &exchange);
    asio::awaitable<void> handleOrder(HttpExchange &exchange);
    asio::awaitable<void> serveStream(HttpExchange &exchange, std::string attempt, bool isCrashing);
    asio::awaitable<void> finishJoin(std::uint64_t life, std::uint64_t epoch, std::chrono::milliseconds time);
    asio::awaitable<void> finishOpen(std::uint64_t life, std::uint64_t epoch);
    asio::awaitable<void> restart();
    asio::awaitable<void> expireEntry(std::string id);
    unsigned join(const json::object &order);
    bool isComplete() const;
    void crash(const std::string &attempt);
    void begin();
    void publish();

    ModelFleet &fleet_;
    unsigned number_ = 0;
    std::string domain_;
    asio::ip::tcp::endpoint endpoint_;
    std::shared_ptr<HttpListener> listener_;
    std::uint64_t life_ = 0;
    std::uint64_t born_ = 0;
    std::uint64_t seq_ = 0;
    std::uint64_t highestEpoch_ = 0;
    std::string id_;
    std::string model_;
    std::string lastModel_;
    std::set<std::string> staged_; // of the host; outlasts restarts
    std::optional<Group> group_;
    bool isAlive_ = false;
};

/// The model runners of a service.
class ModelFleet
{
public:
    ModelFleet(asio::any_io_executor executor, Store &store, Record &record, std::vector<Run> &runs, std::string service)
        : executor_(executor)
        , store_(store)
        , record_(record)
        , runs_(runs)
        , service_(std::move(service))
    {
    }
    void add(unsigned number, const std::string &domain, const asio::ip::tcp::endpoint &endpoint);
    /// Requests with this body have long answers and crash the head that runs them once it has made @p events of their events.
    void setDeadlyBody(std::string body, unsigned events)
    {
        deadlyBody_ = std::move(body);
        deadlyEvents_ = events;
    }
    const std::vector<Crash> &crashes() const
    {
        return crashes_;
    }
    unsigned openGroups() const;

private:
    friend class ModelRunner;
    ModelRunner *find(const std::string &id) const;

    asio::any_io_executor executor_;
    Store &store_;
    Record &record_;
    std::vector<Run> &runs_;
    std::string service_;
    std::string deadlyBody_;
    unsigned deadlyEvents_ = 0;
    std::vector<Crash> crashes_;
    std::vector<std::unique_ptr<ModelRunner>> runners_;
};

}
