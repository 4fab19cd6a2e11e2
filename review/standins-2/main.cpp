// Review cases on a small deployment. Usage: review-case SCENARIO GATEWAY_BINARY FOLDER RECORD TROUBLE VARIANT
// Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.

#include "review/standins-2/model_runner.h"
#include "review/standins-2/small_deployment.h"

#include <csignal>
#include <functional>
#include <iostream>
#include <random>
#include <set>
#include <sstream>
#include <unistd.h>

namespace review
{

using namespace std::chrono_literals;
using asio::ip::tcp;

constexpr int RuleBroken = 1;
constexpr int CouldNotRun = 2;
constexpr unsigned GatewayCount = 3;
constexpr std::uint64_t FirstOwnPart = 100000; // ids of prompt parts that one request has alone

struct Options {
    std::string scenario;
    std::string binary;
    std::string folder;
    std::string record;
    bool hasTrouble = true;
    std::string variant;
};

class CaseRun
{
public:
    explicit CaseRun(const Options &options)
        : options_(options)
        , record_(options.record)
        , prefix_("127." + std::to_string(100 + ::getpid() % 100) + "." + std::to_string(1 + ::getpid() / 100 % 200) + ".")
        , store_(io_.get_executor(), endpointAt(250, 8223))
    {
    }

    int run()
    {
        store_.start();
        for (unsigned number = 0; number < GatewayCount; ++number) {
            static const std::vector<std::string> Zones{"z-a", "z-b", "z-c"};
            gateways_.push_back(std::make_unique<Gateway>(options_.binary, options_.folder, number, prefix_ + std::to_string(150 + number), Zones.at(number),
                                                          endpointAt(250, 8223)));
        }
        asio::co_spawn(io_, script(), [this](const std::exception_ptr &error) {
            if (error) {
                result_ = CouldNotRun;
            }
            io_.stop();
        });
        io_.run();
        return result_;
    }

private:
    tcp::endpoint endpointAt(unsigned host, std::uint16_t port) const
    {
        return {asio::ip::make_address(prefix_ + std::to_string(host)), port};
    }

    Runner &addRunner(const std::string &service)
    {
        const auto number = static_cast<unsigned>(runners_.size() + 1);
        runners_.push_back(
            std::make_unique<Runner>(io_.get_executor(), store_, record_, runs_, "i-" + std::to_string(number), service, endpointAt(number, 8080)));
        runners_.back()->start();
        return *runners_.back();
    }

    asio::awaitable<bool> startGateways()
    {
        for (auto &gateway : gateways_) {
            gateway->start();
        }
        for (unsigned second = 0; second < 100; ++second) {
            co_await sleepFor(100ms);
            unsigned ready = 0;
            for (auto &gateway : gateways_) {
                ready += co_await checkReadiness(gateway->readiness()) == 200 ? 1 : 0;
            }
            if (ready == gateways_.size()) {
                record_.line("all gateways are ready");
                co_return true;
            }
        }
        record_.line("the gateways did not become ready");
        co_return false;
    }

    /// Sends requests to gateway @p number until the load is stopped, each on a connection of its own.
    asio::awaitable<void> load(unsigned number, std::string method, std::string path, std::chrono::milliseconds interval)
    {
        while (isLoading_) {
            const auto id = "c" + std::to_string(++attemptCount_);
            asio::co_spawn(io_,
                           sendRequest(gateways_[number]->callers(),
                                       {.method = method, .path = path + id, .id = id, .body = method == "POST" ? "request " + id : "", .headers = {}}),
                           [this, number](const std::exception_ptr &, Attempt attempt) {
                               attempt.gateway = number;
                               attempts_[attempt.id] = attempt;
                           });
            co_await sleepFor(interval);
        }
    }

    void startLoad(const std::string &method, const std::string &path, std::chrono::milliseconds interval)
    {
        isLoading_ = true;
        for (unsigned number = 0; number < GatewayCount; ++number) {
            asio::co_spawn(io_, load(number, method, path, interval), asio::detached);
        }
    }

    void recordTotals()
    {
        std::map<unsigned, unsigned> byStatus;
        for (const auto &[id, attempt] : attempts_) {
            ++byStatus[attempt.status];
        }
        std::string text = "requests sent " + std::to_string(attempts_.size()) + ", run " + std::to_string(runs_.size()) + "; answers:";
        for (const auto &[status, count] : byStatus) {
            text += " " + std::to_string(status) + " x " + std::to_string(count);
        }
        record_.line(text);
    }

    asio::awaitable<void> script()
    {
        if (options_.scenario == "foreign-entry") {
            co_await foreignEntry();
        } else if (options_.scenario == "silent-store") {
            co_await silentStore();
        } else if (options_.scenario == "incomplete-entry") {
            co_await incompleteEntry();
        } else if (options_.scenario == "deadly-request") {
            co_await deadlyRequest(0, options_.variant != "alone");
        } else if (options_.scenario == "late-deadly-request") {
            co_await deadlyRequest(options_.variant == "early" ? 3 : 14, false);
        } else {
            result_ = CouldNotRun;
        }
    }

    /// Spec of an entry of another writer in the list of servers.
    static std::string foreignSpec(const std::string &variant)
    {
        if (variant == "bytes") {
            // Latin-1 text.
            return "{\"service\":\"inventory\",\"note\":\"M\xfcnchen\"}";
        }
        if (variant == "escape") {
            // The same byte as Python and JavaScript write it: half of a surrogate pair, escaped.
            return R"({"service":"inventory","note":"M\udcfcnchen"})";
        }
        // A field of another type: lists in lists.
        return R"({"service":"inventory","slots":)" + std::string(40, '[') + std::string(40, ']') + "}";
    }

    /// DRAIN: an entry of another writer stands in the list of servers while a runner leaves.
    asio::awaitable<void> foreignEntry()
    {
        store_.put("config", "main", makeConfig(7, json::array{makeRoute("/b/", "non_idempotent", "booking", 2)}, {"booking"}));
        for (unsigned count = 0; count < 3; ++count) {
            addRunner("booking");
        }
        if (!co_await startGateways()) {
            result_ = CouldNotRun;
            co_return;
        }
        co_await sleepFor(3s);
        startLoad("POST", "/b/", 25ms);
        co_await sleepFor(2s);
        const std::vector<std::string> variants =
            options_.variant.empty() ? std::vector<std::string>{"bytes", "escape", "nested"} : std::vector<std::string>{options_.variant};
        for (std::size_t index = 0; index < variants.size(); ++index) {
            co_await foreignEntryPhase(variants[index], *runners_[index]);
        }
        co_await restartWithForeignEntry();
        isLoading_ = false;
        co_await sleepFor(2500ms);
        recordTotals();
    }

    /// RECOVER: all gateways are killed while the entry stands in the list.
    asio::awaitable<void> restartWithForeignEntry()
    {
        const auto variant = options_.variant.empty() ? std::string("nested") : options_.variant;
        record_.line("-- all gateways are killed; entry of another writer: " + variant + (options_.hasTrouble ? "" : " (not written, TROUBLE=0)"));
        if (options_.hasTrouble) {
            store_.put("servers", "other-writer", foreignSpec(variant));
        }
        co_await sleepFor(1s);
        for (auto &gateway : gateways_) {
            gateway->signal(SIGKILL);
            co_await gateway->join(2s);
        }
        for (auto &gateway : gateways_) {
            gateway->start();
        }
        const auto backAt = Clock::now();
        record_.line("all gateways were killed and are started again");
        co_await sleepFor(RecoveryTime + 6s);
        unsigned ready = 0;
        for (auto &gateway : gateways_) {
            ready += co_await checkReadiness(gateway->readiness()) == 200 ? 1 : 0;
        }
        unsigned sent = 0;
        unsigned served = 0;
        for (const auto &[id, attempt] : attempts_) {
            const bool counts = attempt.sentAt > backAt + RecoveryTime;
            sent += counts ? 1 : 0;
            served += counts && attempt.status == 200 ? 1 : 0;
        }
        record_.line("ready gateways: " + std::to_string(ready) + "; requests sent later than recovery_s after the restart: " + std::to_string(sent)
                     + ", served: " + std::to_string(served));
        result_ = 4 * served < sent ? RuleBroken : result_;
    }

    asio::awaitable<void> foreignEntryPhase(std::string variant, Runner &leaving)
    {
        record_.line("-- entry of another writer: " + variant + (options_.hasTrouble ? "" : " (not written, TROUBLE=0)"));
        addRunner("booking");
        co_await sleepFor(1500ms);
        if (options_.hasTrouble) {
            store_.put("servers", "other-writer", foreignSpec(variant));
            record_.line("the entry is in the store");
        }
        co_await sleepFor(1s);
        // It serves for drain_ms and a little longer.
        co_await leaving.leave(DrainTime + 3s);
        co_await sleepFor(2s);
        unsigned late = 0;
        Clock::time_point last{};
        for (const auto &run : runs_) {
            if (run.runner == leaving.id() && run.at > leaving.drainingSince() + DrainTime) {
                ++late;
                last = run.at;
            }
        }
        unsigned lost = 0;
        for (const auto &id : leaving.cutAttempts()) {
            const auto found = attempts_.find(id);
            const auto status = found == attempts_.end() ? 0 : found->second.status;
            record_.line("request " + id + " was at work when " + leaving.id() + " ended; its client got " + std::to_string(status));
            lost += status / 100 != 2 ? 1 : 0;
        }
        record_.line("requests that reached " + leaving.id() + " later than drain_ms after the acknowledgement: " + std::to_string(late)
                     + (late > 0 ? ", the last after " + std::to_string(std::chrono::duration<double>(last - leaving.drainingSince()).count()) + " s" : "")
                     + "; lost with it: " + std::to_string(lost));
        result_ = late > 0 ? RuleBroken : result_;
        if (options_.hasTrouble) {
            store_.remove("servers", "other-writer");
        }
        // The entry also stands in the history. Without it, the next part of the run starts from a list.
        store_.discardHistory();
        record_.line("the entry is removed, and the store has discarded its history");
        co_await sleepFor(ContactTime);
        const auto calmAt = Clock::now();
        co_await sleepFor(1s);
        std::set<std::string> used;
        for (const auto &run : runs_) {
            if (run.at > calmAt) {
                used.insert(run.runner);
            }
        }
        record_.line("runners that get requests again: " + std::to_string(used.size()));
    }

    /// DENIED: an incomplete entry of another writer names the service of a route and the address of a server that is no runner.
    asio::awaitable<void> incompleteEntry()
    {
        const auto other = endpointAt(90, 9000);
        std::vector<std::string> received;
        const auto otherServer = std::make_shared<HttpListener>(io_.get_executor(), other, [&received](HttpExchange &exchange) -> asio::awaitable<void> {
            received.push_back(exchange.header("Carawaypoint-Attempt-Id"));
            co_await exchange.respond(404, R"({"error":"no such page"})");
        });
        otherServer->start();
        store_.put("config", "main", makeConfig(7, json::array{makeRoute("/b/", "non_idempotent", "booking", 2)}, {"booking"}));
        for (unsigned count = 0; count < 3; ++count) {
            addRunner("booking");
        }
        if (!co_await startGateways()) {
            result_ = CouldNotRun;
            co_return;
        }
        co_await sleepFor(3s);
        startLoad("POST", "/b/", 25ms);
        co_await sleepFor(3s);
        const std::vector<std::string> variants =
            options_.variant.empty() ? std::vector<std::string>{"missing", "types"} : std::vector<std::string>{options_.variant};
        for (const auto &variant : variants) {
            const auto from = received.size();
            std::ostringstream spec;
            spec << R"({"service":"booking","address":")" << other << R"(","zone":"z-a","slots":26,"state":"ready")";
            // Missing: version, cold_ms and seq. Of another type: the same three.
            spec << (variant == "missing" ? "}" : R"(,"version":2,"cold_ms":"none","seq":[]})");
            if (options_.hasTrouble) {
                store_.put("servers", "other-writer", spec.str());
                record_.line("the entry of another writer is in the store: " + spec.str());
            }
            co_await sleepFor(10s);
            store_.remove("servers", "other-writer");
            record_.line("the entry is removed; requests of clients that the server which is no runner has received: "
                         + std::to_string(received.size() - from));
            co_await sleepFor(3s);
        }
        isLoading_ = false;
        co_await sleepFor(2500ms);
        recordTotals();
        std::set<std::string> ran;
        for (const auto &run : runs_) {
            ran.insert(run.attempt);
        }
        unsigned denied = 0;
        for (const auto &[id, attempt] : attempts_) {
            denied += attempt.status / 100 == 4 && !ran.contains(id) ? 1 : 0;
        }
        const auto allowed = 5 + attempts_.size() / 500;
        record_.line("proper requests that ended with a 4xx which no runner gave: " + std::to_string(denied) + ", allowed: " + std::to_string(allowed));
        result_ = denied > allowed ? RuleBroken : 0;
    }

    /// CONFIG: open connections to the store go silent for good; new ones work.
    asio::awaitable<void> silentStore()
    {
        addRunner("old");
        addRunner("old");
        addRunner("new");
        addRunner("new");
        std::uint64_t version = 7;
        std::string serving = "old";
        const auto publish = [&] {
            store_.put("config", "main", makeConfig(version, json::array{makeRoute("/r/", "idempotent", serving, 2)}, {"old", "new"}));
        };
        publish();
        if (!co_await startGateways()) {
            result_ = CouldNotRun;
            co_return;
        }
        co_await sleepFor(6s);
        startLoad("GET", "/r/", 20ms);
        std::mt19937 random(static_cast<unsigned>(::getpid()));
        for (unsigned round = 1; round <= 6; ++round) {
            co_await sleepFor(4s);
            const auto watches = store_.watchCount("config");
            for (unsigned tick = 0; tick < 400 && store_.watchCount("config") == watches; ++tick) {
                co_await sleepFor(10ms);
            }
            co_await sleepFor(50ms + std::chrono::milliseconds(random() % 100));
            const auto silentAt = Clock::now();
            if (options_.hasTrouble) {
                store_.silenceOpenConnections();
                record_.line("open connections to the store are silent from now on; new ones work");
            }
            co_await sleepFor(100ms);
            const auto former = serving;
            serving = serving == "old" ? "new" : "old";
            version += 2;
            publish();
            const auto acknowledgedAt = Clock::now();
            std::ostringstream acknowledged;
            acknowledged << "version " << version << " is acknowledged: the route goes from " << former << " to " << serving;
            record_.line(acknowledged.str());
            co_await sleepFor(9s);
            const auto bound = std::max(options_.hasTrouble ? silentAt + ContactTime : acknowledgedAt, acknowledgedAt + ConfigApplyTime);
            std::map<unsigned, unsigned> late;
            std::map<unsigned, Clock::time_point> last;
            for (const auto &run : runs_) {
                const auto found = attempts_.find(run.attempt);
                if (run.service != former || run.at < acknowledgedAt || found == attempts_.end()) {
                    continue;
                }
                last[found->second.gateway] = found->second.sentAt;
                late[found->second.gateway] += found->second.sentAt > bound ? 1 : 0;
            }
            for (const auto &[gateway, at] : last) {
                record_.line("gateway " + std::to_string(gateway) + ": the last request by the older version was sent "
                             + std::to_string(std::chrono::duration<double>(at - silentAt).count())
                             + " s after the start of the round; late ones: " + std::to_string(late[gateway]));
                result_ = late[gateway] > 0 ? RuleBroken : result_;
            }
        }
        isLoading_ = false;
        co_await sleepFor(2500ms);
        recordTotals();
    }

    /// Streams of model requests to gateway @p number until the load is stopped. @p parts: the parts of the prompt; empty: each request has its own.
    asio::awaitable<void> loadStreams(unsigned number, std::string parts, std::chrono::milliseconds interval)
    {
        while (isLoading_) {
            const auto id = "c" + std::to_string(++attemptCount_);
            const auto own = parts.empty() ? "aa01:40," + std::to_string(FirstOwnPart + attemptCount_) + ":300" : parts;
            asio::co_spawn(io_, sendRequest(gateways_[number]->callers(), makeStream(id, own, "turn " + id)),
                           [this, number](const std::exception_ptr &, Attempt attempt) {
                               attempt.gateway = number;
                               attempts_[attempt.id] = attempt;
                           });
            co_await sleepFor(interval);
        }
    }

    static RequestSpec makeStream(const std::string &id, const std::string &parts, const std::string &body)
    {
        return {.method = "POST",
                .path = "/s/chat",
                .id = id,
                .deadline = 6000ms,
                .body = body,
                .headers = {{"Carawaypoint-Model", "model-a"}, {"Carawaypoint-Token-Usage", "340,80"}, {"Carawaypoint-Prompt-Prefix", parts}}};
    }

    /// BUDGET: a request that crashes its runners comes again and again. @p events: how many of its events a runner makes before it crashes.
    /// @p hasSession: other requests of its session are served beside it.
    asio::awaitable<void> deadlyRequest(unsigned events, bool hasSession)
    {
        static const std::string Parts = "aa01:40,5e55:300";
        static const std::string Body = "the turn that crashes its runner";
        ModelFleet fleet(io_.get_executor(), store_, record_, runs_, "draft");
        store_.put("config", "main", makeConfig(7, json::array{makeStreamRoute("/s/", "draft")}, {}, json::array{makeModelService("draft", "model-a")}));
        for (unsigned number = 1; number <= 24; ++number) {
            fleet.add(number, "d" + std::to_string(number % 2), endpointAt(number, 8080));
        }
        if (!co_await startGateways()) {
            result_ = CouldNotRun;
            co_return;
        }
        for (unsigned tenth = 0; tenth < 150 && fleet.openGroups() < 12; ++tenth) {
            co_await sleepFor(100ms);
        }
        record_.line("open replicas: " + std::to_string(fleet.openGroups()));
        if (fleet.openGroups() < 12) {
            result_ = CouldNotRun;
            co_return;
        }
        isLoading_ = true;
        for (unsigned number = 0; number < GatewayCount; ++number) {
            asio::co_spawn(io_, loadStreams(number, "", 200ms), asio::detached);
            if (hasSession) {
                asio::co_spawn(io_, loadStreams(number, Parts, 300ms), asio::detached);
            }
        }
        co_await sleepFor(4s);
        if (options_.hasTrouble) {
            fleet.setDeadlyBody(Body, events);
        }
        for (unsigned count = 0; count < 20; ++count) {
            const auto id = "d" + std::to_string(count);
            asio::co_spawn(io_, sendRequest(gateways_[count % GatewayCount]->callers(), makeStream(id, Parts, Body)),
                           [this, count](const std::exception_ptr &, Attempt attempt) {
                               attempt.gateway = count % GatewayCount;
                               attempts_[attempt.id] = attempt;
                               record_.line("client gets " + std::to_string(attempt.status) + " for " + attempt.id);
                           });
            co_await sleepFor(2500ms);
        }
        isLoading_ = false;
        co_await sleepFor(7s);
        const auto &crashes = fleet.crashes();
        record_.line("crashes by the request: " + std::to_string(crashes.size()) + "; open replicas: " + std::to_string(fleet.openGroups()));
        if (crashes.size() >= 3) {
            std::set<std::string> late;
            for (const auto &run : runs_) {
                const bool isDeadly = run.attempt.starts_with("d");
                if (isDeadly && run.at > crashes[2].at + ContactTime && attempts_[run.attempt].sentAt > crashes[2].at + ContactTime) {
                    late.insert(run.attempt);
                }
            }
            record_.line("retries that reached runners later than contact_ms after the third crash: " + std::to_string(late.size()));
            result_ = late.size() > 3 ? RuleBroken : 0;
        }
        recordTotals();
    }

    Options options_;
    Record record_;
    std::string prefix_;
    asio::io_context io_{1};
    Store store_;
    std::vector<Run> runs_;
    std::vector<std::unique_ptr<Runner>> runners_;
    std::vector<std::unique_ptr<Gateway>> gateways_;
    std::map<std::string, Attempt> attempts_; // by id
    std::uint64_t attemptCount_ = 0;
    bool isLoading_ = false;
    int result_ = 0;
};

}

int main(int argc, char **argv)
{
    if (argc < 7) {
        std::cerr << "usage: review-case SCENARIO GATEWAY_BINARY FOLDER RECORD TROUBLE VARIANT\n";
        return review::CouldNotRun;
    }
    std::signal(SIGPIPE, SIG_IGN);
    try {
        return review::CaseRun({argv[1], argv[2], argv[3], argv[4], std::string(argv[5]) != "0", argv[6]}).run();
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return review::CouldNotRun;
    }
}
