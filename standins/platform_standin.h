#pragma once

#include "standins/http_listener.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace carawaypoint::standins
{

/// Stand-in of the platform's object API and VM list (docs/interfaces.md). `POST /standin/faults` injects faults:
/// `outage` (true/false), `delay_ms`, `lose_write_answers` (number of writes that take effect without an answer),
/// `cut` (list of listening addresses whose requests are never answered), `vm_list_lag_ms`, `save` and `restore`
/// (name of a copy of the store), `writes_per_second` and `reads_per_second` (0: no limit).
///
/// `POST /standin/vms` with `{"vms":[...]}` or `{"remove":["id"]}` changes the VM list, and `GET /standin/counts` returns the
/// number of calls of each kind.
class PlatformStandin
{
public:
    PlatformStandin(const boost::asio::any_io_executor &executor, const std::vector<boost::asio::ip::tcp::endpoint> &endpoints);

    void start();

private:
    struct Object {
        std::uint64_t version = 0;
        std::string value;
    };
    using Key = std::pair<std::string, std::string>; // kind, name
    struct Event {
        std::uint64_t revision = 0;
        Key key;
        Object object;
        bool isRemoved = false;
    };
    struct Store {
        std::uint64_t revision = 0;
        std::map<Key, Object> objects;
        std::deque<Event> events;
    };
    /// A change of the VM list that becomes visible later.
    struct VmChange {
        std::chrono::steady_clock::time_point visibleAt;
        std::string id;
        boost::json::object vm; // empty: removed
    };
    /// Token bucket with a burst of one second.
    struct RateLimit {
        double perSecond = 0;
        double tokens = 0;
        std::chrono::steady_clock::time_point refilledAt;

        /// Takes one token; false when there is none.
        bool admit();
    };

    boost::asio::awaitable<void> handle(HttpExchange &exchange, std::string listener);
    boost::asio::awaitable<void> handleObject(HttpExchange &exchange, const std::string &rest);
    boost::asio::awaitable<void> handleList(HttpExchange &exchange, const std::string &kind);
    boost::asio::awaitable<void> handleWatch(HttpExchange &exchange);
    boost::asio::awaitable<void> handleVmList(HttpExchange &exchange);
    boost::asio::awaitable<void> handleControl(HttpExchange &exchange, const std::string &action);
    boost::asio::awaitable<void> put(HttpExchange &exchange, const Key &key);
    boost::asio::awaitable<void> remove(HttpExchange &exchange, const Key &key);
    boost::asio::awaitable<void> answerWrite(HttpExchange &exchange, std::uint64_t version);
    bool isConditionMet(const HttpExchange &exchange, const Key &key) const;
    void recordEvent(const Key &key, const Object &object, bool isRemoved);
    void applyFaults(const boost::json::object &faults);
    void changeVms(const boost::json::object &change);
    void applyDueVmChanges();

    std::vector<std::shared_ptr<HttpListener>> listeners_;
    Store store_;
    std::map<std::string, Store> savedStores_; // by name
    std::map<std::string, boost::json::object> vms_; // visible VM list, by id
    std::deque<VmChange> pendingVmChanges_;
    std::map<std::string, std::uint64_t> counts_; // calls by kind
    RateLimit reads_;
    RateLimit writes_;
    bool isDown_ = false;
    std::chrono::milliseconds delay_{0};
    std::chrono::milliseconds vmListLag_{0};
    std::uint64_t answersToLose_ = 0; // number of writes that will take effect without an answer
    std::set<std::string> unreachableListeners_;
};

}
