// Stand-ins of model runners in groups and of plain runners, for the cases of review 3.
#pragma once

#include "rig.hh"

namespace rig
{

/// All runners, under one mutex.
class Runners
{
public:
    struct Settings {
        std::string prefix;
        long heartbeatMs = 1200;
        long stallMs = 6000;
        long formMs = 300;
        long warmMs = 200;
        long loadMs = 1200;
        long eventMs = 60; // between the events of a stream
        int events = 20;
        long backMs = 3000; // from a crash to the next start
        unsigned modelSize = 2;
    };
    struct Group {
        std::string name;
        std::uint64_t epoch = 0;
        std::vector<std::string> members;
        std::string state = "joining";
        std::size_t rank = 0;
    };
    struct Runner {
        std::string id;
        std::string service;
        std::string domain;
        std::string address;
        std::uint64_t born = 0;
        std::uint64_t lives = 0;
        std::string model;
        std::string lastModel;
        std::string staged;
        std::optional<Group> group;
        std::uint64_t highestEpoch = 0;
        std::uint64_t seq = 0;
        bool isUp = true;
        bool isDraining = false;
        int running = 0; // requests at a head
        std::atomic<std::int64_t> silentUntilMs{0};
        std::unique_ptr<Server> server;
    };
    /// Answers a request to a plain runner. Returns whether the connection is kept.
    using PlainHandler = std::function<bool(Runner &, Socket &, Message &)>;

    Runners(Store &store, Record &record, Settings settings)
        : store_(store)
        , record_(record)
        , settings_(settings)
    {
    }

    bool add(const std::string &service, const std::string &domain)
    {
        auto runner = std::make_unique<Runner>();
        const auto number = runners_.size() + 1;
        const auto host = settings_.prefix + std::to_string(number);
        runner->id = "i-" + std::to_string(1000 + number);
        runner->service = service;
        runner->domain = domain;
        runner->address = host + ":8120";
        runner->born = nowMs();
        auto *added = runner.get();
        runner->server = std::make_unique<Server>(host, 8120, [this, added](Socket &socket, Message &request) { return handle(*added, socket, request); });
        if (!runner->server->start()) {
            return false;
        }
        const std::lock_guard lock(mutex_);
        runners_.emplace(runner->id, std::move(runner));
        publish(*added);
        std::thread([this, added, number] { beat(*added, number); }).detach();
        return true;
    }
    void setPlainHandler(PlainHandler handler)
    {
        plain_ = std::move(handler);
    }
    /// A part of a prompt that crashes each runner that begins to write an answer on it.
    void setDeadlyPart(const std::string &part)
    {
        deadlyPart_ = part;
    }
    /// The ids of the members of the open groups, the head first.
    std::vector<std::vector<std::string>> openMembers()
    {
        const std::lock_guard lock(mutex_);
        std::vector<std::vector<std::string>> result;
        for (const auto &[id, runner] : runners_) {
            if (runner->isUp && runner->group && runner->group->state == "open" && isComplete(*runner)) {
                result.push_back(runner->group->members);
            }
        }
        return result;
    }
    int running(const std::string &id)
    {
        const std::lock_guard lock(mutex_);
        return runners_.at(id)->running;
    }
    /// The runner says nothing for @p ms and goes on after that.
    void fallSilent(const std::string &id, long ms)
    {
        runners_.at(id)->silentUntilMs = static_cast<std::int64_t>(nowMs()) + ms;
        record_.write("runner " + id + " falls silent for " + std::to_string(ms) + " ms");
    }
    /// A planned shutdown: the runner reports it, remains while the head of its group has work, for 10 s at most, and exits.
    void drain(const std::string &id)
    {
        {
            const std::lock_guard lock(mutex_);
            runners_.at(id)->isDraining = true;
            publish(*runners_.at(id));
        }
        record_.write("runner " + id + " reports that it is draining");
        std::thread([this, id] {
            auto &runner = *runners_.at(id);
            const auto begun = Clock::now();
            while (true) {
                sleepMs(50);
                const std::lock_guard lock(mutex_);
                const auto time = Clock::now() - begun;
                const bool isHeadAtWork = runner.group && runners_.at(runner.group->members.front())->running > 0;
                if (time > Ms(2500) && (!isHeadAtWork || time > Ms(10000))) {
                    runner.isUp = false;
                    ++runner.lives;
                    runner.group.reset();
                    break;
                }
            }
            runner.server->stop();
            store_.remove("servers", id);
            record_.write("runner " + id + " exits");
        }).detach();
    }
    std::vector<std::string> broken()
    {
        const std::lock_guard lock(mutex_);
        return broken_;
    }
    int openGroups()
    {
        const std::lock_guard lock(mutex_);
        int count = 0;
        for (const auto &[id, runner] : runners_) {
            count += runner->isUp && runner->group && runner->group->state == "open" && isComplete(*runner) ? 1 : 0;
        }
        return count;
    }
    int freeRunners()
    {
        const std::lock_guard lock(mutex_);
        int count = 0;
        for (const auto &[id, runner] : runners_) {
            count += runner->isUp && !runner->domain.empty() && !runner->group ? 1 : 0;
        }
        return count;
    }
    struct Arrival {
        double at;
        std::string id;
        bool isDeadly;
    };
    std::vector<Arrival> arrivals()
    {
        const std::lock_guard lock(mutex_);
        return arrivals_;
    }
    std::vector<double> crashes()
    {
        const std::lock_guard lock(mutex_);
        return crashes_;
    }
    std::map<std::string, int> runs()
    {
        const std::lock_guard lock(mutex_);
        return runs_;
    }

private:
    void beat(Runner &runner, std::size_t number)
    {
        std::mt19937 random(static_cast<unsigned>(number));
        sleepMs(static_cast<long>(random() % static_cast<unsigned>(settings_.heartbeatMs)));
        while (true) {
            waitWhileSilent(runner);
            {
                const std::lock_guard lock(mutex_);
                if (runner.isUp) {
                    publish(runner);
                }
            }
            // Approximately: up to a fifth earlier or later.
            sleepMs(settings_.heartbeatMs * static_cast<long>(80 + random() % 41) / 100);
        }
    }
    /// Writes the entry in the store; without effect while the store is away.
    void publish(Runner &runner)
    {
        if (!runner.isUp) {
            return;
        }
        std::ostringstream text;
        text << "{\"service\":\"" << runner.service << "\",\"address\":\"" << runner.address << "\",\"zone\":\"z-a\",\"version\":\"v1\",\"slots\":8"
             << ",\"state\":\"" << (runner.isDraining ? "draining" : "ready") << "\",\"cold_ms\":0,\"seq\":" << runner.seq << ",\"born\":" << runner.born;
        if (!runner.domain.empty()) {
            text << ",\"domain\":\"" << runner.domain << "\",\"phase\":\"colocated\",\"models\":["
                 << (runner.model.empty() ? "" : "{\"name\":\"" + runner.model + "\",\"version\":1,\"adapters\":[]}") << "],\"staged\":["
                 << (runner.staged.empty() ? "" : "\"" + runner.staged + "\"") << "]";
            if (runner.group) {
                text << ",\"group\":{\"name\":\"" << runner.group->name << "\",\"epoch\":" << runner.group->epoch << ",\"rank\":" << runner.group->rank
                     << ",\"state\":\"" << runner.group->state << "\"}";
            }
        }
        text << "}";
        store_.put("servers", runner.id, text.str());
    }
    bool isComplete(const Runner &head) const
    {
        for (const auto &id : head.group->members) {
            const auto found = runners_.find(id);
            const auto *other = found == runners_.end() ? nullptr : found->second.get();
            if (other == nullptr || !other->isUp || !other->group || other->group->name != head.group->name || other->group->epoch != head.group->epoch) {
                return false;
            }
        }
        return true;
    }
    /// Nothing moves in a group while one of its members says nothing.
    bool isAnySilent(const Runner &head) const
    {
        for (const auto &id : head.group->members) {
            if (static_cast<std::int64_t>(nowMs()) < runners_.at(id)->silentUntilMs) {
                return true;
            }
        }
        return false;
    }
    void later(Runner &runner, long ms, std::function<void()> action)
    {
        std::thread([this, &runner, ms, life = runner.lives, action = std::move(action)] {
            sleepMs(ms);
            const std::lock_guard lock(mutex_);
            if (runner.lives == life && runner.isUp) {
                action();
                publish(runner);
            }
        }).detach();
    }
    void crash(Runner &runner, const std::string &request)
    {
        record_.write("runner " + runner.id + " crashes, running " + request);
        {
            const std::lock_guard lock(mutex_);
            if (!runner.isUp) {
                return;
            }
            crashes_.push_back(record_.seconds());
            runner.isUp = false;
            ++runner.lives;
            runner.group.reset();
            runner.model.clear();
            runner.lastModel.clear();
            runner.highestEpoch = 0;
            runner.seq = 0;
            runner.running = 0;
        }
        runner.server->stop();
        std::thread([this, &runner] {
            sleepMs(settings_.backMs);
            const std::lock_guard lock(mutex_);
            runner.isUp = true;
            runner.born = nowMs();
            runner.server->start();
            publish(runner);
        }).detach();
    }
    int join(Runner &runner, const std::string &order)
    {
        Group group;
        group.name = unquoted(member(order, "group"));
        group.epoch = std::strtoull(member(order, "epoch").c_str(), nullptr, 10);
        group.members = texts(member(order, "members"));
        const auto model = unquoted(member(order, "model"));
        auto &old = runner.group;
        const bool isSame = old && old->name == group.name && old->epoch == group.epoch;
        if (group.epoch < runner.highestEpoch || (isSame && old->members != group.members)) {
            return 412;
        }
        if (isSame) {
            return 200;
        }
        if (old) {
            const auto &head = *runners_.at(old->members.front());
            const bool isHeadIn = head.isUp && head.group && head.group->name == old->name && head.group->epoch == old->epoch;
            if (isHeadIn && (head.group->state == "open" || head.group->state == "closing")) {
                const auto text = runner.id + " takes a join of group " + group.name + " while " + head.id + ", the head of its group " + old->name + ", is "
                    + head.group->state;
                broken_.push_back(text);
                record_.write("TWO: " + text);
            }
        }
        for (std::size_t rank = 0; rank < group.members.size(); ++rank) {
            group.rank = group.members[rank] == runner.id ? rank : group.rank;
        }
        const auto time = runner.lastModel == model ? 200 : runner.staged == model ? settings_.warmMs : settings_.loadMs;
        runner.highestEpoch = group.epoch;
        runner.model = model;
        runner.group = group;
        ++runner.seq;
        later(runner, time, [&runner, name = group.name, epoch = group.epoch, model] {
            if (runner.group && runner.group->name == name && runner.group->epoch == epoch && runner.group->state == "joining") {
                runner.group->state = "ready";
                runner.lastModel = model;
                runner.staged = model;
            }
        });
        return 202;
    }
    int order(Runner &runner, const std::string &text)
    {
        const auto operation = unquoted(member(text, "operation"));
        if (operation == "join") {
            return join(runner, text);
        }
        if (operation == "phase") {
            later(runner, settings_.loadMs, [&runner, model = unquoted(member(text, "model"))] { runner.staged = model; });
            ++runner.seq;
            return 202;
        }
        const auto name = unquoted(member(text, "group"));
        const auto epoch = std::strtoull(member(text, "epoch").c_str(), nullptr, 10);
        if (!runner.group || runner.group->name != name || runner.group->epoch != epoch) {
            return 409;
        }
        if (operation == "open") {
            if (runner.group->state == "open") {
                return 200;
            }
            if (runner.group->state != "ready" || runner.group->rank != 0) {
                return 409;
            }
            later(runner, settings_.formMs, [&runner, name, epoch] {
                if (runner.group && runner.group->name == name && runner.group->epoch == epoch && runner.group->state == "ready") {
                    runner.group->state = "open";
                }
            });
        } else if (operation == "close") {
            runner.group->state = runner.running > 0 ? "closing" : "ready";
        } else if (operation == "leave") {
            runner.group.reset();
            runner.model.clear();
        } else {
            return 400;
        }
        ++runner.seq;
        return 202;
    }
    static void waitWhileSilent(Runner &runner)
    {
        while (static_cast<std::int64_t>(nowMs()) < runner.silentUntilMs) {
            sleepMs(5);
        }
    }
    bool handle(Runner &runner, Socket &socket, Message &request)
    {
        waitWhileSilent(runner);
        const auto id = request.header("Carawaypoint-Attempt-Id");
        const auto echo = id.empty() ? std::string() : "Carawaypoint-Attempt-Id: " + id + "\r\n";
        const auto expected = request.header("Carawaypoint-Expect-Instance");
        if (!expected.empty() && expected != runner.id) {
            return socket.send(response(421, "{}", echo + "Carawaypoint-Not-Executed: 1\r\n"));
        }
        if (request.target == "/v1/report") {
            return socket.send(response(200, "{\"busy\":false,\"waiting\":0,\"running\":0,\"pace\":1.0}"));
        }
        if (request.target == "/v1/order") {
            int status = 0;
            {
                const std::lock_guard lock(mutex_);
                status = order(runner, request.body);
                publish(runner);
            }
            record_.write("order to " + runner.id + ": " + request.body + " -> " + std::to_string(status));
            return socket.send(response(status, "{}"));
        }
        if (runner.domain.empty()) {
            return plain_(runner, socket, request);
        }
        return stream(runner, socket, request, id, echo);
    }
    bool stream(Runner &runner, Socket &socket, Message &request, const std::string &id, const std::string &echo)
    {
        const auto parts = "," + request.header("Carawaypoint-Prompt-Prefix");
        const bool isDeadly = !deadlyPart_.empty() && parts.find("," + deadlyPart_ + ":") != std::string::npos;
        std::uint64_t life = 0;
        std::uint64_t epoch = 0;
        {
            const std::lock_guard lock(mutex_);
            const bool isHead = runner.group && runner.group->rank == 0;
            if (!isHead || runner.group->state != "open") {
                const auto status = isHead ? 503 : 421;
                record_.write("runner " + runner.id + " turns " + id + " away with " + std::to_string(status));
                return socket.send(response(status, "{}", echo + "Carawaypoint-Not-Executed: 1\r\n"));
            }
            arrivals_.push_back({record_.seconds(), id, isDeadly});
            record_.write("runner " + runner.id + " runs " + id);
            life = runner.lives;
            epoch = runner.group->epoch;
            ++runs_[id];
            ++runner.running;
        }
        const bool isKept = answer(runner, socket, request, id, echo, isDeadly, life, epoch);
        const std::lock_guard lock(mutex_);
        if (runner.lives == life && --runner.running == 0 && runner.group && runner.group->state == "closing") {
            runner.group->state = "ready";
            publish(runner);
        }
        return isKept;
    }
    bool answer(Runner &runner,
                Socket &socket,
                Message &request,
                const std::string &id,
                const std::string &echo,
                bool isDeadly,
                std::uint64_t life,
                std::uint64_t epoch)
    {
        sleepMs(40);
        if (isDeadly) {
            crash(runner, id);
            return false;
        }
        socket.send("HTTP/1.1 200 OK\r\n" + echo + "Carawaypoint-Response-Signature: s-" + id
                    + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        const auto after = request.header("Last-Event-Id");
        for (int number = after.empty() ? 1 : std::atoi(after.c_str()) + 1; number <= settings_.events; ++number) {
            long stalled = 0;
            while (true) {
                waitWhileSilent(runner);
                const std::lock_guard lock(mutex_);
                if (runner.lives != life || !runner.group || runner.group->epoch != epoch || runner.group->state == "broken") {
                    socket.reset();
                    return false;
                }
                if (isComplete(runner) && !isAnySilent(runner)) {
                    break;
                }
                if ((stalled += 20) > settings_.stallMs) {
                    runner.group->state = "broken";
                    publish(runner);
                    socket.reset();
                    return false;
                }
                mutex_.unlock();
                sleepMs(20);
                mutex_.lock();
            }
            const auto event = "id: " + std::to_string(number) + "\ndata: " + id + " piece " + std::to_string(number) + "\n\n";
            char size[16];
            std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
            if (!socket.send(size + event + "\r\n")) {
                return false;
            }
            sleepMs(settings_.eventMs);
        }
        return socket.send("0\r\n\r\n");
    }

    Store &store_;
    Record &record_;
    Settings settings_;
    PlainHandler plain_;
    std::string deadlyPart_;
    std::mutex mutex_;
    std::map<std::string, std::unique_ptr<Runner>> runners_;
    std::vector<std::string> broken_;
    std::vector<Arrival> arrivals_;
    std::vector<double> crashes_;
    std::map<std::string, int> runs_;
};

struct Outcome {
    int status = 0;
    bool isComplete = false;
    std::string body;
};

/// Sends a streaming request and reads the answer.
inline Outcome callStream(const std::string &host, const std::string &id, const std::string &parts, const std::string &model = "m0", long deadlineMs = 8000)
{
    Outcome outcome;
    const auto socket = Socket::connect(host, 8227);
    const std::string body = "prompt of " + id;
    Message answer;
    if (!socket
        || !socket->send("POST /s/x HTTP/1.1\r\nHost: case.example\r\nCarawaypoint-Attempt-Id: " + id + "\r\nCarawaypoint-Model: " + model + "\r\n"
                         + "Carawaypoint-Token-Usage: 400,60\r\nCarawaypoint-Prompt-Prefix: " + parts + "\r\nCarawaypoint-Deadline-Ms: "
                         + std::to_string(deadlineMs) + "\r\nAuthorization: Token key-1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body)
        || !socket->readHead(answer, deadlineMs)) {
        return outcome;
    }
    outcome.status = answer.status;
    outcome.isComplete = socket->readBody(answer, deadlineMs);
    outcome.body = answer.body;
    return outcome;
}

/// The configuration of a small deployment: streams at `draft`, in groups, and plain calls at `app`.
inline std::string makeConfig(unsigned version, unsigned modelSize, long timeoutMs, unsigned modelCount = 1)
{
    std::string models;
    for (unsigned number = 0; number < modelCount; ++number) {
        models += (models.empty() ? "" : ",") + std::string("{\"name\":\"m") + std::to_string(number) + "\",\"size\":" + std::to_string(modelSize)
            + ",\"share\":" + std::to_string(1.0 / modelCount) + ",\"pace\":1.0,\"load_s\":1.2,\"warm_s\":0.2}";
    }
    const auto route = [timeoutMs](const std::string &path, const std::string &kind, const std::string &service, int attempts, bool isResumable) {
        return "{\"name\":\"" + path + "\",\"hostname\":\"case.example\",\"path_prefix\":\"" + path + "\",\"kind\":\"" + kind
            + "\",\"timeout_ms\":" + std::to_string(timeoutMs) + ",\"target_latency_ms\":400,\"target_gap_ms\":250,\"priority\":1,\"service\":\"" + service
            + "\",\"max_attempts\":" + std::to_string(attempts) + ",\"public\":false,\"sticky\":" + (isResumable ? "true" : "false")
            + ",\"resumable\":" + (isResumable ? "true" : "false") + "}";
    };
    return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + route("/s/", "streaming", "draft", 2, true) + ","
        + route("/n/", "streaming", "draft", 1, false) + "," + route("/b/", "non_idempotent", "app", 1, false) + ","
        + route("/r/", "idempotent", "app", 2, false)
        + "],\"services\":[{\"name\":\"draft\",\"max_conns\":300,\"engine\":{\"slots\":8,\"read_per_s\":56100.0,\"loads_per_s\":5.5,\"loads_at_once\":8,"
          "\"history_limit\":1,\"form_ms\":300.0,\"kv_capacity\":2470000,\"models\":["
        + models
        + "]}},{\"name\":\"app\",\"max_conns\":300}],\"limits\":{\"max_header_bytes\":16384,"
          "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"key-1\"]}]}";
}

}
