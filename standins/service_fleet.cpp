#include "standins/service_fleet.h"

#include <boost/beast/http/field.hpp>
#include <boost/json.hpp>

namespace carawaypoint::standins
{

namespace asio = boost::asio;
namespace json = boost::json;
namespace http = boost::beast::http;

ServiceFleet::ServiceFleet(asio::any_io_executor executor, std::string pool)
    : executor_(std::move(executor))
    , pool_(std::move(pool))
{
}

void ServiceFleet::addVm(std::string id, std::string zone, const asio::ip::tcp::endpoint &endpoint)
{
    auto server = std::make_shared<Server>();
    server->id = id;
    server->zone = std::move(zone);
    server->listener = std::make_shared<HttpListener>(executor_, endpoint, [this, server](HttpExchange &exchange) { return handle(exchange, server); });
    servers_[std::move(id)] = server;
}

void ServiceFleet::start(const asio::ip::tcp::endpoint &control)
{
    for (const auto &[id, server] : servers_) {
        server->listener->start();
    }
    control_ = std::make_shared<HttpListener>(executor_, control, [this](HttpExchange &exchange) { return handleControl(exchange); });
    control_->start();
}

json::array ServiceFleet::vmList() const
{
    json::array vms;
    for (const auto &[id, server] : servers_) {
        const auto endpoint = server->listener->endpoint();
        vms.push_back(json::object{{"id", id},
                                   {"address", endpoint.address().to_string() + ":" + std::to_string(endpoint.port())},
                                   {"zone", server->zone},
                                   {"domain", ""},
                                   {"pool", pool_},
                                   {"state", "live"}});
    }
    return vms;
}

asio::awaitable<void> ServiceFleet::handle(HttpExchange &exchange, std::shared_ptr<Server> server)
{
    if (server->isDraining) {
        const Headers headers{{"X-Draining", "1"}, {"Connection", "close"}};
        co_await exchange.respond(503, "{}", headers);
        co_return;
    }
    if (exchange.path() == "/healthz") {
        co_await exchange.respond(200, "{}");
        co_return;
    }
    if (delay_.count() > 0) {
        co_await sleepFor(delay_);
    }
    if (exchange.request().method() == http::verb::get) {
        std::string text = json::serialize(json::object{{"server", server->id}, {"path", exchange.path()}});
        co_await exchange.respond(200, std::move(text));
        co_return;
    }
    if (cutsBefore_ > 0) {
        --cutsBefore_;
        exchange.abort();
        co_return;
    }
    const std::string key = exchange.header("Idempotency-Key");
    const std::uint64_t count = ++executions_[key];
    if (cutsAfter_ > 0) {
        --cutsAfter_;
        exchange.abort();
        co_return;
    }
    std::string text = json::serialize(json::object{{"server", server->id}, {"key", key}, {"execution", count}});
    co_await exchange.respond(201, std::move(text));
}

asio::awaitable<void> ServiceFleet::handleControl(HttpExchange &exchange)
{
    if (exchange.path() == "/standin/executions") {
        json::object counts;
        for (const auto &[key, count] : executions_) {
            counts[key] = count;
        }
        co_await exchange.respond(200, json::serialize(counts));
        co_return;
    }
    const json::object fault = json::parse(exchange.request().body()).as_object();
    const auto number = [&fault](std::string_view key, std::uint64_t current) {
        return fault.contains(key) ? fault.at(key).to_number<std::uint64_t>() : current;
    };
    delay_ = std::chrono::milliseconds(number("delay_ms", static_cast<std::uint64_t>(delay_.count())));
    cutsBefore_ = number("cut_before", cutsBefore_);
    cutsAfter_ = number("cut_after", cutsAfter_);
    if (fault.contains("vm")) {
        const auto &server = servers_.at(std::string(fault.at("vm").as_string()));
        const std::string action(fault.at("action").as_string());
        if (action == "kill") {
            server->listener->stop();
        } else if (action == "restart") {
            server->listener->stop();
            server->listener->start();
        } else {
            server->isDraining = action == "drain";
        }
    }
    co_await exchange.respond(200, "{}");
}

}
