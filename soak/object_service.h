#pragma once

#include "standins/http_listener.h"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace carawaypoint::soak
{

/// Injected fault of the store.
enum class StoreFault : std::uint8_t {
    None,
    Busy, // answers 503
    Away, // closes connections without an answer
    NoAnswer, // accepts requests and never answers
    LosesAnswers, // applies writes, but closes about half of the connections instead of answering
    Slow, // answers after 400 ms
};

/// Stand-in of the users' object store, in memory.
class ObjectService
{
public:
    ObjectService(const boost::asio::any_io_executor &executor, const boost::asio::ip::tcp::endpoint &endpoint, std::uint64_t seed);

    void start();
    void setFault(StoreFault fault)
    {
        fault_ = fault;
    }
    /// Contents of the store, from which it can be restored.
    struct Copy;
    std::shared_ptr<const Copy> copy() const;
    /// Goes back to @p copy: revisions are given out again, watches from later ones get 410, and the era in all answers rises.
    void restore(const Copy &copy);
    /// Drops the history, so that watches from an earlier revision have to list again.
    void forgetHistory();

    // Writes of the operator and of the backend servers. Injected faults do not affect them.
    void put(const std::string &kind, const std::string &name, boost::json::value spec);
    void remove(const std::string &kind, const std::string &name);

private:
    struct Object {
        std::uint64_t revision = 0;
        boost::json::value spec;
    };
    struct Event {
        std::uint64_t revision = 0;
        std::string kind;
        boost::json::value body;
    };
    using Exchange = standins::HttpExchange;

    standins::Headers headers() const;

    boost::asio::awaitable<void> handle(Exchange &exchange);
    boost::asio::awaitable<void> handleObjectRequest(Exchange &exchange);
    boost::asio::awaitable<void> watch(Exchange &exchange, std::string kind);
    std::string list(const Exchange &exchange, const std::string &kind) const;
    boost::json::object describe(const std::string &name, const Object &object) const;
    unsigned write(const Exchange &exchange, const std::string &kind, const std::string &name, std::string &body);
    void recordEvent(const std::string &kind, const std::string &name, bool isRemoved, const Object &object);

    std::shared_ptr<standins::HttpListener> listener_;
    std::map<std::string, std::map<std::string, Object>> kinds_; // by kind and name
    std::vector<Event> events_;
    std::uint64_t revision_ = 1;
    std::uint64_t historyStart_ = 0; // oldest revision that a watch can start from
    std::uint64_t era_ = 1;
    StoreFault fault_ = StoreFault::None;
    std::mt19937_64 random_;
};

}
