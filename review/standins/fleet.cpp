#include "fleet.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <csignal>
#include <cstdio>
#include <fcntl.h>
#include <filesystem>
#include <iostream>
#include <sstream>
#include <unistd.h>

namespace review
{

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace
{

constexpr auto Token = asio::as_tuple(asio::use_awaitable);
constexpr auto Host = "small.example";
constexpr std::uint64_t MaxAnswerBytes = std::uint64_t{64} * 1024 * 1024;

std::uint64_t unixMs()
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
}

std::string toText(const tcp::endpoint &endpoint)
{
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

/// A gateway that inherits sockets would keep them open after this process has closed them.
void keepSocketsFromChildren()
{
    for (const auto &entry : std::filesystem::directory_iterator("/proc/self/fd")) {
        const int descriptor = std::stoi(entry.path().filename());
        if (descriptor > STDERR_FILENO) {
            ::fcntl(descriptor, F_SETFD, FD_CLOEXEC);
        }
    }
}

void replaceAll(std::string &text, const std::string &from, const std::string &to)
{
    for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
        text.replace(at, from.size(), to);
    }
}

}

Record::Record(const std::string &path)
    : file_(path)
{
}

double Record::seconds() const
{
    return std::chrono::duration<double>(Clock::now() - startedAt_).count();
}

void Record::note(const std::string &text)
{
    char time[24];
    std::snprintf(time, sizeof time, "%8.3f s  ", seconds());
    file_ << time << text << std::endl;
}

ClientConnection::ClientConnection(Fleet &fleet, tcp::endpoint gateway)
    : fleet_(fleet)
    , gateway_(std::move(gateway))
    , stream_(fleet.io().get_executor())
{
}

asio::awaitable<bool> ClientConnection::open(milliseconds limit)
{
    stream_.expires_after(limit);
    const auto [error] = co_await stream_.async_connect(gateway_, Token);
    stream_.expires_never();
    co_return !error;
}

bool ClientConnection::isOpen() const
{
    return stream_.socket().is_open();
}

void ClientConnection::close()
{
    beast::error_code ignored;
    stream_.socket().close(ignored);
}

asio::awaitable<Answer> ClientConnection::send(Request request)
{
    fleet_.record().note("sent  " + request.id + " " + request.path + " to " + toText(gateway_));
    auto answer = co_await exchange(request);
    fleet_.record().note("ended " + request.id + ": " + (answer.status == 0 ? "no answer" : std::to_string(answer.status))
                         + (answer.isComplete ? "" : ", incomplete, " + answer.error));
    co_return answer;
}

asio::awaitable<Answer> ClientConnection::exchange(const Request &request)
{
    http::request<http::string_body> message(http::verb::post, request.path, 11);
    message.set(http::field::host, Host);
    message.set("Carawaypoint-Attempt-Id", request.id);
    message.set("Carawaypoint-Deadline-Ms", std::to_string(request.deadlineMs));
    message.set(http::field::authorization, "Token " + request.key);
    message.body() = request.body;
    message.prepare_payload();
    Answer answer;
    answer.sentAt = Clock::now();
    stream_.expires_after(milliseconds(request.deadlineMs + 1000));
    const auto [writeError, written] = co_await http::async_write(stream_, message, Token);
    if (writeError) {
        answer.error = writeError.message();
        answer.endedAt = Clock::now();
        close();
        co_return answer;
    }
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(MaxAnswerBytes);
    const auto [error, bytes] = co_await http::async_read(stream_, buffer, parser, Token);
    answer.endedAt = Clock::now();
    if (parser.is_header_done()) {
        answer.status = parser.get().result_int();
        answer.body = parser.get().body();
    }
    answer.isComplete = !error;
    answer.isKept = !error && parser.keep_alive();
    answer.error = error ? error.message() : "";
    if (answer.isKept) {
        stream_.expires_never();
    } else {
        close();
    }
    co_return answer;
}

PlainServer::PlainServer(Fleet &fleet, std::string id, std::string service, std::string zone, tcp::endpoint endpoint, milliseconds work, unsigned slots)
    : fleet_(fleet)
    , id_(std::move(id))
    , service_(std::move(service))
    , zone_(std::move(zone))
    , endpoint_(std::move(endpoint))
    , work_(work)
    , slots_(slots)
{
}

void PlainServer::start()
{
    born_ = unixMs();
    listener_ = std::make_shared<carawaypoint::standins::HttpListener>(fleet_.io().get_executor(), endpoint_,
                                                                       [this](HttpExchange &exchange) { return handle(exchange); });
    listener_->start();
    fleet_.store().put("servers", id_,
                       json::object{{"service", service_},
                                    {"address", toText(endpoint_)},
                                    {"zone", zone_},
                                    {"version", "v1"},
                                    {"slots", slots_},
                                    {"state", "ready"},
                                    {"cold_ms", 0},
                                    {"seq", 1},
                                    {"born", born_}});
}

void PlainServer::unregister()
{
    fleet_.store().remove("servers", id_);
}

void PlainServer::end()
{
    listener_->stop();
}

void PlainServer::stream(unsigned events, milliseconds interval)
{
    events_ = events;
    interval_ = interval;
}

void PlainServer::crashOn(std::string body, std::function<void()> whenCrashed)
{
    crashBody_ = std::move(body);
    whenCrashed_ = std::move(whenCrashed);
}

asio::awaitable<void> PlainServer::handle(HttpExchange &exchange)
{
    const auto expected = exchange.header("Carawaypoint-Expect-Instance");
    const auto request = exchange.header("Carawaypoint-Attempt-Id");
    carawaypoint::standins::Headers headers{{"Carawaypoint-Attempt-Id", request}, {"Keep-Alive", "timeout=4"}};
    if (!expected.empty() && expected != id_) {
        headers["Carawaypoint-Not-Executed"] = "1";
        co_await exchange.respond(421, "{}", headers);
        co_return;
    }
    fleet_.record().note("run   " + request + " at " + id_ + " (" + service_ + ")");
    fleet_.recordRun(request, {id_, service_, Clock::now()});
    headers["Carawaypoint-Response-Signature"] = "s-" + request;
    if (events_ == 0) {
        co_await sleepFor(work_);
        co_await exchange.respond(200, "answer to " + request + " by " + service_, headers);
        co_return;
    }
    co_await exchange.startStream(headers);
    const auto after = exchange.header("Last-Event-Id");
    const unsigned first = after.empty() ? 1 : static_cast<unsigned>(std::stoul(after)) + 1;
    for (unsigned number = first; number <= events_; ++number) {
        co_await sleepFor(interval_);
        co_await exchange.sendChunk("id: " + std::to_string(number) + "\ndata: " + request + " piece " + std::to_string(number) + "\n\n");
        if (!crashBody_.empty() && exchange.request().body() == crashBody_) {
            co_await sleepFor(milliseconds(5));
            end();
            whenCrashed_();
            co_return;
        }
    }
    co_await exchange.endStream();
}

Fleet::Fleet(const Options &options)
    : options_(options)
    , record_(options.record)
{
    // A part of the loopback network that other runs hardly use.
    const auto pid = static_cast<unsigned>(::getpid());
    prefix_ = "127." + std::to_string(64 + pid % 128) + "." + std::to_string(pid / 128 % 250 + 1) + ".";
    store_ = std::make_unique<ObjectService>(io_.get_executor(), storeEndpoint(), 1);
    store_->start();
}

Fleet::~Fleet()
{
    for (auto &gateway : gateways_) {
        gateway->kill();
    }
}

tcp::endpoint Fleet::endpoint(unsigned host, unsigned short port) const
{
    return {asio::ip::make_address(prefix_ + std::to_string(host)), port};
}

void Fleet::startGateway(const std::string &zone, const tcp::endpoint &store)
{
    const auto number = gateways_.size();
    const auto ip = callersOf(number).address().to_string();
    const auto name = "edge-" + zone + "-" + std::to_string(number + 1);
    std::stringstream text;
    text << std::ifstream(options_.settingsTemplate).rdbuf();
    auto settings = text.str();
    // The fields of the platform's settings file, with the values of the site.
    const std::map<std::string, std::string> fields{
        {"node", name},
        {"zone", zone},
        {"ip", ip},
        {"limits.max_fds", "4200"},
        {"limits.memory_mb", "260"},
        {"limits.link_mbps", "1000"},
        {"listen.frontend", ip + ":8227"},
        {"listen.readiness", ip + ":8220"},
        {"port_range.0", "7340"},
        {"port_range.1", "7355"},
        {"platform.address", toText(store)},
        {"bounds.grace_s", "8"},
        {"bounds.stall_ms", "6000"},
        {"bounds.retry_budget", "0.2"},
        {"bounds.retry_slack", "132"},
        {"bounds.budget_window_s", "10"},
    };
    for (const auto &[field, value] : fields) {
        replaceAll(settings, "{{" + field + "}}", value);
    }
    const auto path = options_.workDir + "/" + name;
    std::ofstream(path + ".ini") << settings;
    gateways_.push_back(std::make_unique<carawaypoint::soak::GatewayProcess>(options_.binary, path + ".ini", path + ".log"));
    keepSocketsFromChildren();
    gateways_.back()->start();
    record_.note("start gateway " + name);
}

void Fleet::restartGateway(std::size_t number)
{
    keepSocketsFromChildren();
    gateways_.at(number)->start();
    record_.note("start gateway " + std::to_string(number + 1) + " again");
}

asio::awaitable<bool> Fleet::isReady(std::size_t number)
{
    beast::tcp_stream stream(io_.get_executor());
    stream.expires_after(milliseconds(500));
    const auto [error] = co_await stream.async_connect(endpoint(static_cast<unsigned>(number) + 1, 8220), Token);
    if (error) {
        co_return false;
    }
    http::request<http::empty_body> request(http::verb::get, "/v1/readyz", 11);
    request.set(http::field::host, "readiness");
    request.set(http::field::connection, "close");
    const auto [writeError, written] = co_await http::async_write(stream, request, Token);
    if (writeError) {
        co_return false;
    }
    beast::flat_buffer buffer;
    http::response<http::string_body> response;
    const auto [readError, read] = co_await http::async_read(stream, buffer, response, Token);
    co_return !readError && response.result_int() == 200;
}

asio::awaitable<bool> Fleet::waitUntilReady(milliseconds limit)
{
    const auto until = Clock::now() + limit;
    while (Clock::now() < until) {
        bool areReady = true;
        for (std::size_t number = 0; number < gateways_.size(); ++number) {
            const bool isOneReady = co_await isReady(number);
            areReady = areReady && isOneReady;
        }
        if (areReady) {
            record_.note("all gateways are ready");
            co_return true;
        }
        co_await sleepFor(milliseconds(100));
    }
    record_.note("the gateways did not become ready");
    co_return false;
}

PlainServer &Fleet::addServer(const std::string &id, const std::string &service, const std::string &zone, milliseconds work, unsigned slots)
{
    const auto host = static_cast<unsigned>(servers_.size()) + 101;
    servers_.push_back(std::make_unique<PlainServer>(*this, id, service, zone, endpoint(host, 9000), work, slots));
    return *servers_.back();
}

void Fleet::recordRun(const std::string &request, Run run)
{
    runs_[request].push_back(std::move(run));
}

const std::vector<Run> &Fleet::runsOf(const std::string &request) const
{
    static const std::vector<Run> None;
    const auto found = runs_.find(request);
    return found == runs_.end() ? None : found->second;
}

Verdict Fleet::run(asio::awaitable<Verdict> scenario)
{
    auto verdict = Verdict::NotRun;
    asio::co_spawn(io_, std::move(scenario), [this, &verdict](const std::exception_ptr &error, Verdict result) {
        verdict = error ? Verdict::NotRun : result;
        if (error) {
            record_.note("the case ended with an error");
        }
        io_.stop();
    });
    asio::signal_set signals(io_, SIGINT, SIGTERM);
    signals.async_wait([this](const boost::system::error_code &error, int) {
        if (!error) {
            io_.stop();
        }
    });
    io_.run();
    for (auto &gateway : gateways_) {
        gateway->kill();
    }
    record_.note("all gateways ended");
    return verdict;
}

json::object makeRoute(const std::string &prefix, const std::string &kind, const std::string &service, unsigned timeoutMs, bool isResumable)
{
    return {{"name", prefix},
            {"hostname", Host},
            {"path_prefix", prefix},
            {"kind", kind},
            {"timeout_ms", timeoutMs},
            {"target_latency_ms", 300},
            {"max_attempts", kind == "non_idempotent" ? 1 : 2},
            {"priority", 2},
            {"resumable", isResumable},
            {"service", service}};
}

json::object makeConfig(std::uint64_t version, json::array routes, json::array services, const std::vector<std::string> &keys)
{
    json::array tenants;
    for (const auto &key : keys) {
        tenants.push_back(json::object{{"name", "tenant-of-" + key}, {"api_keys", json::array{json::string(key)}}});
    }
    return {{"version", version},
            {"routes", std::move(routes)},
            {"services", std::move(services)},
            {"tenants", std::move(tenants)},
            {"limits", json::object{{"max_header_bytes", 16384}, {"max_body_bytes", 4194304}, {"header_timeout_ms", 5000}, {"idle_timeout_ms", 10000}}}};
}

}
