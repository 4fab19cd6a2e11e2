#include "review/standins-2/model_runner.h"

#include <algorithm>
#include <sstream>

namespace review
{

using namespace std::chrono_literals;

namespace
{

std::uint64_t unixMilliseconds()
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
}

std::string text(const json::object &object, std::string_view key)
{
    const auto *value = object.if_contains(key);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

std::uint64_t number(const json::object &object, std::string_view key)
{
    const auto *value = object.if_contains(key);
    return value != nullptr && value->is_number() ? value->to_number<std::uint64_t>() : 0;
}

}

void ModelFleet::add(unsigned number, const std::string &domain, const asio::ip::tcp::endpoint &endpoint)
{
    runners_.push_back(std::make_unique<ModelRunner>(*this, number, domain, endpoint));
    runners_.back()->start();
}

ModelRunner *ModelFleet::find(const std::string &id) const
{
    const auto found = std::find_if(runners_.begin(), runners_.end(), [&id](const auto &runner) { return runner->id_ == id; });
    return found == runners_.end() ? nullptr : found->get();
}

unsigned ModelFleet::openGroups() const
{
    return static_cast<unsigned>(std::count_if(runners_.begin(), runners_.end(), [](const auto &runner) {
        return runner->isAlive_ && runner->group_ && runner->group_->rank == 0 && runner->group_->state == "open";
    }));
}

ModelRunner::ModelRunner(ModelFleet &fleet, unsigned number, const std::string &domain, const asio::ip::tcp::endpoint &endpoint)
    : fleet_(fleet)
    , number_(number)
    , domain_(domain)
    , endpoint_(endpoint)
{
}

void ModelRunner::start()
{
    begin();
}

/// A new life: it holds and knows nothing of before, under a new id.
void ModelRunner::begin()
{
    ++life_;
    id_ = "i-" + std::to_string(number_) + "-" + std::to_string(life_);
    born_ = unixMilliseconds();
    seq_ = 0;
    highestEpoch_ = 0;
    model_.clear();
    lastModel_.clear();
    group_.reset();
    isAlive_ = true;
    listener_ = std::make_shared<HttpListener>(fleet_.executor_, endpoint_, [this](HttpExchange &exchange) { return handle(exchange); });
    listener_->start();
    publish();
}

void ModelRunner::publish()
{
    std::ostringstream address;
    address << endpoint_;
    json::object entry{{"service", fleet_.service_},
                       {"address", address.str()},
                       {"zone", "z-a"},
                       {"version", "v1"},
                       {"slots", 26},
                       {"state", "ready"},
                       {"cold_ms", 0},
                       {"seq", seq_},
                       {"born", born_},
                       {"domain", domain_},
                       {"phase", "colocated"}};
    entry["models"] = model_.empty() ? json::array() : json::array{json::object{{"name", model_}, {"version", 1}, {"adapters", json::array()}}};
    entry["staged"] = json::array(staged_.begin(), staged_.end());
    if (group_) {
        entry["group"] = json::object{{"name", group_->name}, {"epoch", group_->epoch}, {"rank", group_->rank}, {"state", group_->state}};
    }
    fleet_.store_.put("servers", id_, json::serialize(entry));
}

void ModelRunner::crash(const std::string &attempt)
{
    fleet_.crashes_.push_back({attempt, id_, Clock::now()});
    fleet_.record_.line("runner " + id_ + " is crashed by " + attempt);
    isAlive_ = false;
    listener_->stop();
    asio::co_spawn(fleet_.executor_, expireEntry(id_), asio::detached);
    asio::co_spawn(fleet_.executor_, restart(), asio::detached);
}

asio::awaitable<void> ModelRunner::restart()
{
    co_await sleepFor(CrashRestartTime);
    begin();
}

/// The entry of a runner that is silent is removed after three heartbeats.
asio::awaitable<void> ModelRunner::expireEntry(std::string id)
{
    co_await sleepFor(3 * HeartbeatTime);
    fleet_.store_.remove("servers", id);
}

asio::awaitable<void> ModelRunner::handle(HttpExchange &exchange)
{
    const auto attempt = exchange.header("Carawaypoint-Attempt-Id");
    const auto expected = exchange.header("Carawaypoint-Expect-Instance");
    carawaypoint::standins::Headers headers;
    if (!attempt.empty()) {
        headers["Carawaypoint-Attempt-Id"] = attempt;
    }
    if (!expected.empty() && expected != id_) {
        headers["At-Server"] = id_;
        co_await exchange.respond(421, "{}", headers);
        co_return;
    }
    if (exchange.path() == "/v1/order") {
        co_await handleOrder(exchange);
        co_return;
    }
    if (exchange.path() == "/v1/report") {
        co_await exchange.respond(200, R"({"phase":"colocated","pace":1.0,"seq":)" + std::to_string(seq_) + R"(,"busy":false,"waiting":0,"running":0})");
        co_return;
    }
    if (!group_ || group_->rank != 0 || group_->state != "open") {
        headers["At-Server"] = id_;
        headers["Carawaypoint-Not-Executed"] = "1";
        const bool isBroken = group_ && group_->state == "broken";
        co_await exchange.respond(isBroken ? 503 : 421, "{}", headers);
        co_return;
    }
    const auto body = exchange.request().body();
    co_await serveStream(exchange, attempt, !fleet_.deadlyBody_.empty() && body == fleet_.deadlyBody_);
}

bool ModelRunner::isComplete() const
{
    return std::all_of(group_->members.begin(), group_->members.end(), [this](const std::string &id) {
        const auto *member = fleet_.find(id);
        return member != nullptr && member->isAlive_ && member->group_ && member->group_->name == group_->name && member->group_->epoch == group_->epoch;
    });
}

asio::awaitable<void> ModelRunner::serveStream(HttpExchange &exchange, std::string attempt, bool isCrashing)
{
    const auto life = life_;
    const auto epoch = group_->epoch;
    carawaypoint::standins::Headers headers{{"Carawaypoint-Attempt-Id", attempt}, {"Carawaypoint-Response-Signature", "sig-" + attempt}};
    const auto after = exchange.header("Last-Event-Id");
    co_await sleepFor(40ms);
    if (life_ != life || !isAlive_) {
        co_return;
    }
    fleet_.runs_.push_back({attempt, id_, fleet_.service_, Clock::now()});
    if (isCrashing && fleet_.deadlyEvents_ == 0) {
        crash(attempt);
        co_return;
    }
    co_await exchange.startStream(headers);
    const unsigned first = after.empty() ? 1 : static_cast<unsigned>(std::stoul(after)) + 1;
    const unsigned last = isCrashing ? EventsPerLongStream : EventsPerStream;
    for (unsigned event = first; event <= last; ++event) {
        if (isCrashing && event - first >= fleet_.deadlyEvents_) {
            crash(attempt);
            co_return;
        }
        auto waited = 0ms;
        while (isAlive_ && life_ == life && group_ && group_->epoch == epoch && !isComplete() && waited < StallTime) {
            co_await sleepFor(50ms);
            waited += 50ms;
        }
        if (!isAlive_ || life_ != life || !group_ || group_->epoch != epoch || waited >= StallTime) {
            if (isAlive_ && life_ == life && group_ && group_->epoch == epoch) {
                group_->state = "broken";
                publish();
            }
            exchange.abort();
            co_return;
        }
        co_await exchange.sendChunk("id: " + std::to_string(event) + "\ndata: " + attempt + " piece " + std::to_string(event) + "\n\n");
        co_await sleepFor(EventTime);
    }
    co_await exchange.endStream();
}

asio::awaitable<void> ModelRunner::handleOrder(HttpExchange &exchange)
{
    boost::system::error_code error;
    const auto parsed = json::parse(exchange.request().body(), error);
    if (error || !parsed.is_object()) {
        co_await exchange.respond(400, "{}");
        co_return;
    }
    const auto &order = parsed.as_object();
    const auto operation = text(order, "operation");
    unsigned status = 202;
    if (operation == "phase") {
        staged_ = {text(order, "model")};
    } else if (operation == "join") {
        status = join(order);
    } else if (operation != "open" && operation != "close" && operation != "leave") {
        status = 400;
    } else if (!group_ || group_->name != text(order, "group") || group_->epoch != number(order, "epoch")) {
        status = 409;
    } else if (operation == "open") {
        const bool isReady = group_->rank == 0 && group_->state == "ready";
        status = group_->state == "open" ? 200 : isReady ? 202 : 409;
        if (isReady) {
            asio::co_spawn(fleet_.executor_, finishOpen(life_, group_->epoch), asio::detached);
        }
    } else if (operation == "close") {
        group_->state = "ready";
    } else {
        group_.reset();
        model_.clear();
    }
    seq_ += status == 202 ? 1 : 0;
    publish();
    co_await exchange.respond(status, "{}");
}

unsigned ModelRunner::join(const json::object &order)
{
    Group group;
    group.name = text(order, "group");
    group.epoch = number(order, "epoch");
    const auto model = text(order, "model");
    const auto *members = order.if_contains("members");
    if (members == nullptr || !members->is_array()) {
        return 400;
    }
    for (const auto &member : members->as_array()) {
        group.members.emplace_back(member.as_string());
    }
    const bool isSame = group_ && group_->name == group.name && group_->epoch == group.epoch;
    if (group.epoch < highestEpoch_ || (isSame && group_->members != group.members)) {
        return 412;
    }
    if (isSame) {
        return 200;
    }
    const auto time = lastModel_ == model ? RejoinTime : staged_.contains(model) ? StagedLoadTime : LoadTime;
    group.rank = static_cast<unsigned>(std::find(group.members.begin(), group.members.end(), id_) - group.members.begin());
    highestEpoch_ = group.epoch;
    model_ = model;
    group_ = group;
    asio::co_spawn(fleet_.executor_, finishJoin(life_, group.epoch, time), asio::detached);
    return 202;
}

asio::awaitable<void> ModelRunner::finishJoin(std::uint64_t life, std::uint64_t epoch, std::chrono::milliseconds time)
{
    co_await sleepFor(time);
    if (life_ == life && isAlive_ && group_ && group_->epoch == epoch && group_->state == "joining") {
        group_->state = "ready";
        lastModel_ = model_;
        staged_ = {model_};
        publish();
    }
}

asio::awaitable<void> ModelRunner::finishOpen(std::uint64_t life, std::uint64_t epoch)
{
    co_await sleepFor(FormTime);
    if (life_ == life && isAlive_ && group_ && group_->epoch == epoch && group_->state == "ready") {
        group_->state = "open";
        publish();
    }
}

}
