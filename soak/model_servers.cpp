#include "soak/model_servers.h"

#include "core/json_reader.h"
#include "platform/wire_names.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace carawaypoint::soak
{

namespace
{

namespace json = boost::json;
using namespace std::chrono_literals;

constexpr auto HeartbeatInterval = 300ms;
constexpr auto RegistrationTimeout = 1200ms;
constexpr auto LoadedAgainTime = 100ms; // for the model that the server loaded last
constexpr auto StagedLoadTime = 300ms; // for a model that is staged on the host
constexpr auto LoadTime = 900ms; // for any other model
constexpr auto EventInterval = 25ms;
/// Of slow streams, which last so long that one sent late in a planned stop of its gateway may outlive it.
constexpr auto SlowEventInterval = 200ms;
constexpr unsigned SlowStreamShare = 2; // one of this many requests is slow
constexpr std::uint16_t Port = 9000;

std::uint64_t nowMs()
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
}

std::string makeReadyKey(const std::string &group, std::uint64_t epoch, const std::string &member)
{
    return group + "/" + std::to_string(epoch) + "/" + member;
}

}

ModelServers::ModelServers(boost::asio::any_io_executor executor, ObjectService &store, Violations &violations, std::string addressPrefix, Defect defect)
    : executor_(std::move(executor))
    , store_(store)
    , violations_(violations)
    , addressPrefix_(std::move(addressPrefix))
    , defect_(defect)
{
}

std::string ModelServers::addServer(const std::string &service, const std::string &domain, const std::string &publicAddress)
{
    const auto number = servers_.size() + 1;
    auto server = std::make_unique<Server>();
    server->id = "vm-" + std::to_string(number);
    server->service = service;
    server->domain = domain;
    server->publicAddress = publicAddress;
    server->startedAtMs = nowMs();
    server->endpoint = {boost::asio::ip::make_address(addressPrefix_ + std::to_string(number)), Port};
    auto &added = *server;
    server->listener =
        std::make_shared<standins::HttpListener>(executor_, server->endpoint, [this, &added](Exchange &exchange) { return handle(added, exchange); });
    server->listener->start();
    auto id = server->id;
    servers_.emplace(id, std::move(server));
    publishRecord(added);
    return id;
}

boost::asio::ip::tcp::endpoint ModelServers::endpointOf(const std::string &id) const
{
    return servers_.at(id)->endpoint;
}

std::vector<std::string> ModelServers::serverIds(const std::string &service) const
{
    std::vector<std::string> result;
    for (const auto &[id, server] : servers_) {
        if (server->service == service) {
            result.push_back(id);
        }
    }
    return result;
}

void ModelServers::publishRecord(Server &server)
{
    if (server.isUnreachable || server.isIsolatedFromStore) {
        return;
    }
    server.lastReportAt = Clock::now();
    json::object record{{"service", server.service},
                        {"address", server.publicAddress},
                        {"zone", "a"},
                        {"version", "v1"},
                        {"slots", 8},
                        {"state", server.isDraining ? "draining" : "ready"},
                        {"cold_ms", 0},
                        {"seq", 0},
                        {"born", server.startedAtMs}};
    if (!server.domain.empty()) {
        record["domain"] = server.domain;
        record["models"] = server.model.empty() ? json::array() : json::array{json::object{{"name", server.model}, {"version", 1}}};
        record["staged"] = json::array(server.staged.begin(), server.staged.end());
        if (server.group) {
            record["group"] =
                json::object{{"name", server.group->name}, {"epoch", server.group->epoch}, {"rank", server.group->rank}, {"state", server.group->state}};
        }
    }
    store_.put("servers", server.id, record);
}

boost::asio::awaitable<void> ModelServers::heartbeat()
{
    while (true) {
        for (auto &[id, server] : servers_) {
            publishRecord(*server);
            if (Clock::now() - server->lastReportAt > RegistrationTimeout) {
                store_.remove("servers", id);
            }
        }
        co_await standins::sleepFor(HeartbeatInterval);
    }
}

void ModelServers::setUnreachable(const std::string &id)
{
    auto &server = *servers_.at(id);
    server.isUnreachable = true;
    server.listener->setPaused(true);
}

void ModelServers::restart(const std::string &id)
{
    auto &server = *servers_.at(id);
    server.listener->stop();
    server.listener->setPaused(false);
    ++server.restartCount;
    server.isUnreachable = false;
    server.isDraining = false;
    server.startedAtMs = nowMs();
    server.group.reset();
    server.model.clear();
    server.lastModel.clear();
    server.highestEpoch = 0;
    server.listener->start();
    publishRecord(server);
}

void ModelServers::setDraining(const std::string &id, bool isDraining)
{
    servers_.at(id)->isDraining = isDraining;
    publishRecord(*servers_.at(id));
}

void ModelServers::setIsolatedFromStore(const std::string &id, bool isIsolated)
{
    servers_.at(id)->isIsolatedFromStore = isIsolated;
    publishRecord(*servers_.at(id));
}

unsigned ModelServers::runCount(const std::string &request) const
{
    const auto found = runs_.find(request);
    return found == runs_.end() ? 0 : found->second;
}

std::set<std::string> ModelServers::servicesThatRan(const std::string &request) const
{
    const auto found = runServices_.find(request);
    return found == runServices_.end() ? std::set<std::string>() : found->second;
}

unsigned ModelServers::openReplicas() const
{
    return static_cast<unsigned>(std::count_if(servers_.begin(), servers_.end(), [this](const auto &entry) {
        const Server &server = *entry.second;
        return !server.isUnreachable && server.group && server.group->state == "open" && isReplicaComplete(server);
    }));
}

bool ModelServers::isReplicaComplete(const Server &head) const
{
    return std::all_of(head.group->members.begin(), head.group->members.end(), [&](const std::string &id) {
        const auto &member = *servers_.at(id);
        return !member.isUnreachable && member.group && member.group->name == head.group->name && member.group->epoch == head.group->epoch;
    });
}

void ModelServers::recordRun(const Server &server, const std::string &request)
{
    ++runs_[request];
    runServices_[request].insert(server.service);
    if (defect_ == Defect::RunsTwice) {
        ++runs_[request];
    }
}

/// Reports a violation when a replica runs a request although some member was never ready in this group and epoch.
void ModelServers::checkMembersWereReady(const Server &server)
{
    for (const auto &member : server.group->members) {
        if (!readyMembers_.contains(makeReadyKey(server.group->name, server.group->epoch, member))) {
            violations_.add("no partial replica", server.group->name + " runs although " + member + " was never ready");
        }
    }
}

boost::asio::awaitable<void> ModelServers::handle(Server &server, Exchange &exchange)
{
    const auto expected = exchange.header(platformWireNames().expectedServer);
    if (!expected.empty() && expected != server.id) {
        co_await exchange.respond(421, "{}");
        co_return;
    }
    const auto path = exchange.path();
    if (path == "/v1/report") {
        co_await exchange.respond(200, R"({"pace":1.0})");
    } else if (path == "/v1/order") {
        co_await handleOrder(server, exchange);
    } else {
        co_await handleRequest(server, exchange);
    }
}

boost::asio::awaitable<void> ModelServers::handleOrder(Server &server, Exchange &exchange)
{
    const auto order = parseJson(exchange.request().body()).value_or(json::object());
    std::string operation;
    std::string group;
    std::string model;
    std::uint64_t epoch = 0;
    JsonReader reader(order);
    reader.read("operation", operation);
    reader.read("group", group, true);
    reader.read("epoch", epoch, true);
    reader.read("model", model, true);
    if (operation == "phase") {
        server.staged = {model};
        publishRecord(server);
        co_await exchange.respond(202, "{}");
        co_return;
    }
    if (operation == "join") {
        const auto status = joinReplica(server, order);
        publishRecord(server);
        co_await exchange.respond(status, "{}");
        co_return;
    }
    if (!server.group || server.group->name != group || server.group->epoch != epoch) {
        co_await exchange.respond(409, "{}");
        co_return;
    }
    unsigned status = 202;
    if (operation == "open") {
        const bool isReady = server.group->state == "ready" || defect_ == Defect::EarlyOpen;
        status = isReady ? 202 : 409;
        if (isReady) {
            boost::asio::co_spawn(executor_, openReplica(server, epoch), boost::asio::detached);
        }
    } else if (operation == "close") {
        server.group->state = "ready";
    } else {
        server.group.reset();
        server.model.clear();
    }
    publishRecord(server);
    co_await exchange.respond(status, "{}");
}

unsigned ModelServers::joinReplica(Server &server, const json::value &order)
{
    Group group;
    std::string model;
    JsonReader reader(order);
    reader.read("group", group.name);
    reader.read("epoch", group.epoch);
    reader.read("model", model);
    reader.read("members", group.members);
    const bool isSame = server.group && server.group->name == group.name && server.group->epoch == group.epoch;
    if (!reader.isGood() || group.epoch < server.highestEpoch || (isSame && server.group->members != group.members)) {
        return 412;
    }
    if (isSame) {
        return 200;
    }
    if (server.group) {
        const auto &head = *servers_.at(server.group->members.front());
        const bool isHeadIn = head.group && head.group->name == server.group->name && head.group->epoch == server.group->epoch;
        if (!head.isUnreachable && isHeadIn && head.group->state == "open") {
            violations_.add("no VM in two replicas", server.id + " joins " + group.name + " while " + server.group->name + " is open");
        }
    }
    const auto loadTime = server.lastModel == model ? LoadedAgainTime : server.staged.contains(model) ? StagedLoadTime : LoadTime;
    group.rank = static_cast<unsigned>(std::find(group.members.begin(), group.members.end(), server.id) - group.members.begin());
    server.highestEpoch = group.epoch;
    server.model = model;
    server.group = group;
    if (defect_ == Defect::EarlyOpen) {
        server.group->state = "ready";
    }
    boost::asio::co_spawn(executor_, finishLoad(server, group.epoch, loadTime), boost::asio::detached);
    return 202;
}

boost::asio::awaitable<void> ModelServers::finishLoad(Server &server, std::uint64_t epoch, std::chrono::milliseconds loadTime)
{
    const auto restartCount = server.restartCount;
    co_await standins::sleepFor(loadTime);
    if (server.restartCount != restartCount || server.isUnreachable || !server.group || server.group->epoch != epoch) {
        co_return;
    }
    if (server.group->state == "joining" || defect_ == Defect::EarlyOpen) {
        server.group->state = server.group->state == "joining" ? "ready" : server.group->state;
        server.lastModel = server.model;
        server.staged = {server.model};
        if (defect_ != Defect::EarlyOpen) {
            readyMembers_.insert(makeReadyKey(server.group->name, epoch, server.id));
        }
        publishRecord(server);
    }
}

boost::asio::awaitable<void> ModelServers::openReplica(Server &server, std::uint64_t epoch)
{
    const auto restartCount = server.restartCount;
    co_await standins::sleepFor(defect_ == Defect::EarlyOpen ? 1ms : 60ms);
    if (server.restartCount == restartCount && server.group && server.group->epoch == epoch) {
        server.group->state = "open";
        publishRecord(server);
    }
}

boost::asio::awaitable<void> ModelServers::handleRequest(Server &server, Exchange &exchange)
{
    const auto &names = platformWireNames();
    const auto request = exchange.header(names.attemptId);
    standins::Headers headers;
    headers[names.attemptId] = request;
    if (server.service == "drafting") {
        const bool isOpen = server.group && server.group->rank == 0 && server.group->state == "open";
        if (!isOpen) {
            co_await exchange.respond(421, "{}", headers);
            co_return;
        }
        checkMembersWereReady(server);
        co_await serveStream(server, exchange, request);
        co_return;
    }
    recordRun(server, request);
    co_await standins::sleepFor(15ms);
    if (defect_ == Defect::FalseNotRun) {
        headers[names.notExecuted] = "1";
        co_await exchange.respond(503, "{}", headers);
        co_return;
    }
    headers[names.signature] = "s-" + request;
    co_await exchange.respond(200, "answer to " + request, headers);
}

/// Time between the events of a stream, by the number in the id of its request.
std::chrono::milliseconds ModelServers::eventInterval(std::string_view request)
{
    const auto digits = request.find_first_of("0123456789");
    const bool isSlow = digits != std::string_view::npos && std::stoul(std::string(request.substr(digits))) % SlowStreamShare == 0;
    return isSlow ? SlowEventInterval : EventInterval;
}

boost::asio::awaitable<void> ModelServers::serveStream(Server &server, Exchange &exchange, std::string request)
{
    const auto &names = platformWireNames();
    const auto restartCount = server.restartCount;
    const auto after = exchange.header("Last-Event-Id");
    standins::Headers headers;
    headers[names.attemptId] = request;
    headers[names.signature] = "s-" + request;
    co_await exchange.startStream(headers);
    const unsigned last = defect_ == Defect::ShortStream ? EventsPerStream - 2 : EventsPerStream;
    for (unsigned number = after.empty() ? 1 : static_cast<unsigned>(std::stoul(after)) + 1; number <= last; ++number) {
        auto waited = 0ms;
        // Without one of its members the head makes no progress, and fails after StallTimeout.
        while (server.restartCount == restartCount && server.group && !isReplicaComplete(server) && waited < StallTimeout) {
            co_await standins::sleepFor(50ms);
            waited += 50ms;
        }
        if (server.restartCount != restartCount || !server.group || server.group->state != "open" || !isReplicaComplete(server)) {
            if (server.group && server.restartCount == restartCount && waited >= StallTimeout) {
                server.group->state = "broken";
                publishRecord(server);
            }
            exchange.abort();
            co_return;
        }
        co_await exchange.sendChunk("id: " + std::to_string(number) + "\ndata: " + request + " piece " + std::to_string(number) + "\n\n");
        co_await standins::sleepFor(eventInterval(request));
    }
    co_await exchange.endStream();
}

}
