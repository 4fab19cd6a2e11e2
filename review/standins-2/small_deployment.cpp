#include "review/standins-2/small_deployment.h"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <fcntl.h>
#include <iomanip>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{

namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using namespace std::chrono_literals;

void Record::line(const std::string &text)
{
    std::ostringstream stamp;
    stamp << std::fixed << std::setprecision(3) << std::setw(8) << seconds(Clock::now()) << "  ";
    file_ << stamp.str() << text << std::endl;
}

Store::Store(const asio::any_io_executor &executor, const tcp::endpoint &endpoint)
    : listener_(std::make_shared<HttpListener>(executor, endpoint, [this](HttpExchange &exchange) { return handle(exchange); }))
{
}

std::string Store::describe(const std::string &name, const Object &object)
{
    return R"({"metadata":{"name":)" + json::serialize(json::string(name)) + R"(,"revision":)" + std::to_string(object.revision)
        + R"(,"created":1,"finalizers":[],"deleting":false},"spec":)" + object.spec + R"(,"status":{}})";
}

void Store::put(const std::string &kind, const std::string &name, const std::string &spec)
{
    auto &object = kinds_[kind][name];
    if (object.revision != 0 && object.spec == spec) {
        return;
    }
    object = {++revision_, spec};
    events_.push_back({revision_, kind, R"({"removed":false,"object":)" + describe(name, object) + "}"});
}

void Store::remove(const std::string &kind, const std::string &name)
{
    auto &objects = kinds_[kind];
    const auto found = objects.find(name);
    if (found == objects.end()) {
        return;
    }
    ++revision_;
    events_.push_back({revision_, kind, R"({"removed":true,"object":)" + describe(name, found->second) + "}"});
    objects.erase(found);
}

asio::awaitable<void> Store::handle(HttpExchange &exchange)
{
    static const std::string Prefix = "/v1/objects/";
    const auto path = exchange.path();
    if (!path.starts_with(Prefix)) {
        co_await exchange.respond(404, "{}");
        co_return;
    }
    const auto rest = path.substr(Prefix.size());
    const auto slash = rest.find('/');
    const auto kind = rest.substr(0, slash);
    const auto name = slash == std::string::npos ? std::string() : rest.substr(slash + 1);
    co_await sleepFor(4ms);
    if (exchange.request().method() != http::verb::get) {
        std::string answer = "{}";
        const auto status = write(exchange, kind, name, answer);
        co_await exchange.respond(status, answer);
    } else if (!exchange.queryValue("watch").empty()) {
        co_await watch(exchange, kind);
    } else if (name.empty()) {
        co_await exchange.respond(200, list(exchange, kind));
    } else if (const auto found = kinds_[kind].find(name); found != kinds_[kind].end()) {
        co_await exchange.respond(200, describe(name, found->second));
    } else {
        co_await exchange.respond(404, "{}");
    }
}

asio::awaitable<void> Store::watch(HttpExchange &exchange, std::string kind)
{
    ++watchCounts_[kind];
    const auto from = std::stoull(exchange.queryValue("watch"));
    const auto wait = exchange.queryValue("wait_ms");
    const auto until = Clock::now() + std::chrono::milliseconds(wait.empty() ? 0 : std::stol(wait));
    while (true) {
        if (from < historyStart_) {
            co_await exchange.respond(410, "{}");
            co_return;
        }
        std::string found;
        for (const auto &event : events_) {
            if (event.revision > from && event.kind == kind) {
                found += (found.empty() ? "" : ",") + event.text;
            }
        }
        if (!found.empty() || Clock::now() >= until || !exchange.isOpen()) {
            co_await exchange.respond(200, R"({"events":[)" + found + R"(],"at":)" + std::to_string(revision_) + "}");
            co_return;
        }
        co_await sleepFor(5ms);
    }
}

std::string Store::list(const HttpExchange &exchange, const std::string &kind) const
{
    constexpr std::size_t PageSize = 500;
    std::string entries;
    std::size_t count = 0;
    bool hasMore = false;
    if (const auto objects = kinds_.find(kind); objects != kinds_.end()) {
        for (auto entry = objects->second.upper_bound(exchange.queryValue("after")); entry != objects->second.end(); ++entry) {
            if (++count > PageSize) {
                hasMore = true;
                break;
            }
            entries += (entries.empty() ? "" : ",") + describe(entry->first, entry->second);
        }
    }
    return R"({"entries":[)" + entries + R"(],"has_more":)" + (hasMore ? "true" : "false") + R"(,"at":)" + std::to_string(revision_) + "}";
}

unsigned Store::write(HttpExchange &exchange, const std::string &kind, std::string name, std::string &answer)
{
    const auto method = exchange.request().method();
    boost::system::error_code error;
    const auto body = json::parse(exchange.request().body(), error);
    const auto *content = error ? nullptr : body.if_object();
    const auto *metadata = content != nullptr && content->contains("metadata") ? content->at("metadata").if_object() : nullptr;
    if (method == http::verb::delete_) {
        remove(kind, name);
        return 200;
    }
    if (metadata == nullptr || !content->contains("spec")) {
        return 400;
    }
    if (method == http::verb::post) {
        name = json::value_to<std::string>(metadata->at("name"));
    }
    auto &objects = kinds_[kind];
    const auto found = objects.find(name);
    const bool exists = found != objects.end();
    if (method == http::verb::put && !exists) {
        return 404;
    }
    const auto *revision = metadata->if_contains("revision");
    const bool isConflict = exists && (method == http::verb::post || (revision != nullptr && revision->to_number<std::uint64_t>() != found->second.revision));
    if (isConflict) {
        answer = describe(name, found->second);
        return 409;
    }
    put(kind, name, json::serialize(content->at("spec")));
    answer = describe(name, objects.at(name));
    return exists ? 200 : 201;
}

Runner::Runner(const asio::any_io_executor &executor,
               Store &store,
               Record &record,
               std::vector<Run> &runs,
               std::string id,
               std::string service,
               const tcp::endpoint &endpoint)
    : executor_(executor)
    , store_(store)
    , record_(record)
    , runs_(runs)
    , id_(std::move(id))
    , service_(std::move(service))
    , listener_(std::make_shared<HttpListener>(executor, endpoint, [this](HttpExchange &exchange) { return handle(exchange); }))
    , born_(static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count()))
{
}

void Runner::start()
{
    listener_->start();
    publish();
    asio::co_spawn(executor_, heartbeat(), asio::detached);
}

void Runner::publish()
{
    std::ostringstream address;
    address << listener_->endpoint();
    const json::object entry{{"service", service_}, {"address", address.str()},
                             {"zone", "z-a"},       {"version", "v1"},
                             {"slots", 26},         {"state", isDraining_ ? "draining" : "ready"},
                             {"cold_ms", 0},        {"seq", ++seq_},
                             {"born", born_}};
    store_.put("servers", id_, json::serialize(entry));
}

asio::awaitable<void> Runner::heartbeat()
{
    while (!hasEnded_) {
        ++seq_; // the entry in the store changes only when more than this does
        co_await sleepFor(HeartbeatTime);
    }
}

asio::awaitable<void> Runner::leave(std::chrono::milliseconds serviceTime)
{
    isDraining_ = true;
    publish();
    drainingSince_ = Clock::now();
    record_.line("runner " + id_ + " reports draining; the store has accepted it");
    co_await sleepFor(serviceTime);
    hasEnded_ = true;
    listener_->stop();
    cut_ = working_;
    store_.remove("servers", id_);
    record_.line("runner " + id_ + " has ended; requests at work: " + std::to_string(cut_.size()));
}

asio::awaitable<void> Runner::handle(HttpExchange &exchange)
{
    const auto attempt = exchange.header("Carawaypoint-Attempt-Id");
    const auto expected = exchange.header("Carawaypoint-Expect-Instance");
    carawaypoint::standins::Headers headers;
    if (!attempt.empty()) {
        headers["Carawaypoint-Attempt-Id"] = attempt;
    }
    if (!expected.empty() && expected != id_) {
        co_await exchange.respond(421, "{}", headers);
        co_return;
    }
    if (exchange.path() == "/healthz") {
        headers["Carawaypoint-Instance-Id"] = id_;
        co_await exchange.respond(isDraining_ ? 503 : 200, "{}", headers);
        co_return;
    }
    if (attempt.empty()) {
        headers["Carawaypoint-Not-Executed"] = "1";
        co_await exchange.respond(400, "{}", headers);
        co_return;
    }
    runs_.push_back({attempt, id_, service_, Clock::now()});
    working_.push_back(attempt);
    co_await sleepFor(30ms);
    std::erase(working_, attempt);
    headers["Carawaypoint-Response-Signature"] = "sig-" + attempt;
    if (isDraining_) {
        headers["Connection"] = "close";
    }
    co_await exchange.respond(200, R"({"done":")" + attempt + "\"}", headers);
}

Gateway::Gateway(std::string binary,
                 const std::string &folder,
                 unsigned number,
                 const std::string &address,
                 const std::string &zone,
                 const tcp::endpoint &store)
    : binary_(std::move(binary))
    , settingsPath_(folder + "/gateway-" + std::to_string(number) + ".ini")
    , logPath_(folder + "/gateway-" + std::to_string(number) + ".log")
    , address_(address)
{
    // deploy/gateway.ini with the values of a small deployment.
    std::ofstream(settingsPath_) << "[process]\nid = edge-" << number << "\nzone = " << zone
                                 << "\nmax_descriptors = 4200\nmemory_mb = 260\nlink_mbps = 1000.0\n"
                                 << "[listen]\ncallers = " << address << ":8227\nreadiness = " << address << ":8220\nmetrics = " << address
                                 << ":7340\npeer = " << address << ":7355\nchanges = " << address << ":7340\n[store]\naddress = " << store
                                 << "\n[serving]\ndrain_time = 8s\nstall_time = 6000ms\nretry_share = 0.2\nretry_slack = 132\nretry_window = 10s\n"
                                 << "[log]\nlevel = info\n";
}

Gateway::~Gateway()
{
    if (pid_ > 0) {
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
    }
}

void Gateway::start()
{
    pid_ = ::fork();
    if (pid_ == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log = ::open(logPath_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        // The sockets of the stand-ins must end with the stand-ins.
        ::close_range(3, ~0U, 0);
        ::execl(binary_.c_str(), binary_.c_str(), "gateway", "--settings", settingsPath_.c_str(), nullptr);
        ::_exit(127);
    }
}

void Gateway::signal(int number) const
{
    if (pid_ > 0) {
        ::kill(pid_, number);
    }
}

asio::awaitable<bool> Gateway::join(std::chrono::milliseconds limit)
{
    const auto until = Clock::now() + limit;
    int status = 0;
    while (pid_ > 0 && Clock::now() < until) {
        if (::waitpid(pid_, &status, WNOHANG) == pid_) {
            pid_ = -1;
            co_return WIFEXITED(status) && WEXITSTATUS(status) == 0;
        }
        co_await sleepFor(20ms);
    }
    co_return false;
}

tcp::endpoint Gateway::callers() const
{
    return {asio::ip::make_address(address_), 8227};
}

tcp::endpoint Gateway::readiness() const
{
    return {asio::ip::make_address(address_), 8220};
}

asio::awaitable<Attempt> sendRequest(tcp::endpoint endpoint, RequestSpec spec)
{
    Attempt attempt;
    attempt.id = spec.id;
    attempt.sentAt = Clock::now();
    try {
        beast::tcp_stream stream(co_await asio::this_coro::executor);
        stream.expires_after(spec.deadline + 1s);
        co_await stream.async_connect(endpoint, asio::use_awaitable);
        http::request<http::string_body> request(http::string_to_verb(spec.method), spec.path, 11);
        request.set(http::field::host, "review.example");
        request.set("Carawaypoint-Attempt-Id", spec.id);
        request.set("Carawaypoint-Deadline-Ms", std::to_string(spec.deadline.count()));
        request.set(http::field::authorization, "Token review-key");
        request.keep_alive(false);
        for (const auto &[name, value] : spec.headers) {
            request.set(name, value);
        }
        request.body() = std::move(spec.body);
        request.prepare_payload();
        attempt.sentAt = Clock::now();
        co_await http::async_write(stream, request, asio::use_awaitable);
        beast::flat_buffer buffer;
        http::response<http::string_body> response;
        co_await http::async_read(stream, buffer, response, asio::use_awaitable);
        attempt.status = response.result_int();
        attempt.isSigned = response["Carawaypoint-Response-Signature"] == "sig-" + spec.id;
    } catch (const std::exception &) {
        attempt.status = 0;
    }
    co_return attempt;
}

asio::awaitable<unsigned> checkReadiness(tcp::endpoint endpoint)
{
    try {
        beast::tcp_stream stream(co_await asio::this_coro::executor);
        stream.expires_after(1s);
        co_await stream.async_connect(endpoint, asio::use_awaitable);
        http::request<http::empty_body> request(http::verb::get, "/v1/readyz", 11);
        request.set(http::field::host, "review.example");
        request.keep_alive(false);
        co_await http::async_write(stream, request, asio::use_awaitable);
        beast::flat_buffer buffer;
        http::response<http::string_body> response;
        co_await http::async_read(stream, buffer, response, asio::use_awaitable);
        co_return response.result_int();
    } catch (const std::exception &) {
        co_return 0;
    }
}

json::object makeRoute(const std::string &prefix, const std::string &kind, const std::string &service, unsigned attempts)
{
    return {
        {"name", "r" + prefix}, {"hostname", "review.example"}, {"path_prefix", prefix},    {"kind", kind},    {"timeout_ms", 1000}, {"target_latency_ms", 150},
        {"priority", 2},        {"service", service},           {"max_attempts", attempts}, {"public", false}, {"sticky", false},    {"resumable", false}};
}

json::object makeStreamRoute(const std::string &prefix, const std::string &service)
{
    return {{"name", "r" + prefix},  {"hostname", "review.example"},
            {"path_prefix", prefix}, {"kind", "streaming"},
            {"timeout_ms", 6000},    {"target_latency_ms", 250},
            {"priority", 1},         {"service", service},
            {"max_attempts", 2},     {"public", false},
            {"sticky", true},        {"resumable", true},
            {"target_gap_ms", 200}};
}

json::object makeModelService(const std::string &service, const std::string &model)
{
    const json::object engine{
        {"slots", 26},
        {"kv_capacity", 2470000},
        {"stride", 6},
        {"models", json::array{json::object{{"name", model}, {"size", 2}, {"share", 1.0}, {"pace", 1.0}, {"load_s", 1.5}, {"warm_s", 0.4}}}},
        {"step_ms", 6.45},
        {"per_seq_ms", 0.0967},
        {"read_per_s", 56100.0},
        {"chunk", 2048},
        {"report_lag_ms", 200.0},
        {"loads_per_s", 5.5},
        {"loads_at_once", 8},
        {"usual", json::object{{"prompt", 1115}, {"answer", 152}}},
        {"history_limit", 1},
        {"far_x", 4.0},
        {"form_ms", 300.0}};
    return {{"name", service}, {"health_path", "/healthz"}, {"max_conns", 304}, {"protocol", "h1"}, {"tls", false}, {"engine", engine}};
}

std::string makeConfig(std::uint64_t version, json::array routes, const std::vector<std::string> &services, json::array otherServices)
{
    json::array list = std::move(otherServices);
    for (const auto &service : services) {
        list.push_back(json::object{{"name", service}, {"health_path", "/healthz"}, {"max_conns", 100}, {"protocol", "h1"}, {"tls", false}});
    }
    return json::serialize(json::object{
        {"version", version},
        {"routes", std::move(routes)},
        {"services", std::move(list)},
        {"limits", json::object{{"max_header_bytes", 16384}, {"max_body_bytes", 4194304}, {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}}},
        {"tenants", json::array{json::object{{"name", "review"}, {"api_keys", json::array{"review-key"}}, {"priority", 1}}}},
    });
}

}
