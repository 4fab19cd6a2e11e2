// Stand-ins of the platform's store, of the runners and of the platform's process control for the cases of review 3.
#pragma once

#include "http.hh"
#include "json.hh"

#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <fcntl.h>
#include <fstream>
#include <iterator>
#include <random>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace rig
{

/// What is sent, answered and run, with the seconds since the start of the case.
class Record
{
public:
    explicit Record(const std::string &path)
        : file_(path)
    {
    }
    void write(const std::string &line)
    {
        const std::lock_guard lock(mutex_);
        char time[32];
        std::snprintf(time, sizeof(time), "%8.3f ", seconds());
        file_ << time << line << std::endl;
    }
    double seconds() const
    {
        return std::chrono::duration<double>(Clock::now() - start_).count();
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
    Clock::time_point start_ = Clock::now();
};

/// The platform's store: linearizable, with watches, conditions and eras.
class Store
{
public:
    struct Object {
        std::uint64_t revision = 0;
        std::string spec;
    };
    struct Copy {
        std::map<std::string, std::map<std::string, Object>> kinds;
        std::uint64_t revision = 0;
    };

    Store(const std::string &host, int port)
        : server_(host, port, [this](Socket &socket, Message &request) { return handle(socket, request); })
    {
    }
    bool start()
    {
        return server_.start();
    }
    void put(const std::string &kind, const std::string &name, const std::string &spec)
    {
        const std::lock_guard lock(mutex_);
        if (!isAway_) {
            set(kind, name, spec);
        }
    }
    void remove(const std::string &kind, const std::string &name)
    {
        const std::lock_guard lock(mutex_);
        auto &objects = kinds_[kind];
        const auto found = objects.find(name);
        if (isAway_ || found == objects.end()) {
            return;
        }
        ++revision_;
        events_.push_back({revision_, kind, true, describe(name, found->second)});
        objects.erase(found);
        changed_.notify_all();
    }
    bool isAway()
    {
        const std::lock_guard lock(mutex_);
        return isAway_;
    }
    Copy copy()
    {
        const std::lock_guard lock(mutex_);
        return {kinds_, revision_};
    }
    /// Refuses connections and drops the open ones until restore() or comeBack().
    void leave()
    {
        {
            const std::lock_guard lock(mutex_);
            isAway_ = true;
            changed_.notify_all();
        }
        server_.stop();
    }
    void restore(const Copy &copy)
    {
        {
            const std::lock_guard lock(mutex_);
            kinds_ = copy.kinds;
            revision_ = copy.revision;
            std::vector<Event> kept;
            for (const auto &event : events_) {
                if (event.revision <= revision_) {
                    kept.push_back(event);
                }
            }
            events_ = kept;
            ++era_;
        }
        comeBack();
    }
    void comeBack()
    {
        {
            const std::lock_guard lock(mutex_);
            isAway_ = false;
        }
        server_.start();
    }
    std::string spec(const std::string &kind, const std::string &name)
    {
        const std::lock_guard lock(mutex_);
        return kinds_[kind][name].spec;
    }

private:
    struct Event {
        std::uint64_t revision;
        std::string kind;
        bool isRemoved;
        std::string object;
    };

    static std::string describe(const std::string &name, const Object &object)
    {
        return "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + std::to_string(object.revision)
            + ",\"created\":1,\"finalizers\":[],\"deleting\":false},\"spec\":" + object.spec + ",\"status\":null}";
    }
    Object &set(const std::string &kind, const std::string &name, const std::string &spec)
    {
        auto &object = kinds_[kind][name];
        if (object.revision == 0 || object.spec != spec) {
            object.spec = spec;
            object.revision = ++revision_;
            events_.push_back({revision_, kind, false, describe(name, object)});
            changed_.notify_all();
        }
        return object;
    }
    static std::string query(const std::string &target, const std::string &name)
    {
        auto position = target.find(name + "=");
        if (target.find('?') == std::string::npos || position == std::string::npos) {
            return {};
        }
        position += name.size() + 1;
        return target.substr(position, target.find('&', position) - position);
    }
    bool handle(Socket &socket, Message &request)
    {
        sleepMs(4);
        std::unique_lock lock(mutex_);
        if (isAway_) {
            return false;
        }
        const auto path = request.target.substr(0, request.target.find('?'));
        static const std::string Prefix = "/v1/objects/";
        const auto rest = path.substr(std::min(path.size(), Prefix.size()));
        const auto kind = rest.substr(0, rest.find('/'));
        const auto name = rest.find('/') == std::string::npos ? std::string() : rest.substr(rest.find('/') + 1);
        int status = 200;
        std::string body = "{}";
        if (request.method == "GET" && !query(request.target, "watch").empty()) {
            const auto from = std::strtoull(query(request.target, "watch").c_str(), nullptr, 10);
            const auto until = Clock::now() + Ms(std::atol(query(request.target, "wait_ms").c_str()));
            std::string found;
            const auto era = era_;
            while (true) {
                if (isAway_ || era != era_) {
                    return false;
                }
                if (from > revision_) {
                    status = 410;
                    break;
                }
                for (const auto &event : events_) {
                    if (event.revision > from && event.kind == kind) {
                        found += (found.empty() ? "" : ",") + std::string("{\"removed\":") + (event.isRemoved ? "true" : "false")
                            + ",\"object\":" + event.object + "}";
                    }
                }
                if (!found.empty() || Clock::now() >= until) {
                    break;
                }
                changed_.wait_until(lock, until);
            }
            if (status == 200) {
                body = "{\"events\":[" + found + "],\"at\":" + std::to_string(revision_) + "}";
            }
        } else if (request.method == "GET" && name.empty()) {
            std::string entries;
            for (const auto &[each, object] : kinds_[kind]) {
                entries += (entries.empty() ? "" : ",") + describe(each, object);
            }
            body = "{\"entries\":[" + entries + "],\"has_more\":false,\"at\":" + std::to_string(revision_) + "}";
        } else if (request.method == "GET") {
            const auto found = kinds_[kind].find(name);
            status = found == kinds_[kind].end() ? 404 : 200;
            body = status == 200 ? describe(name, found->second) : body;
        } else {
            status = write(request, kind, name, body);
        }
        const auto headers = "Store-Era: " + std::to_string(era_) + "\r\nContent-Type: application/json\r\n";
        lock.unlock();
        return socket.send(response(status, body, headers));
    }
    int write(const Message &request, const std::string &kind, const std::string &pathName, std::string &body)
    {
        const auto metadata = member(request.body, "metadata");
        const auto name = pathName.empty() ? unquoted(member(metadata, "name")) : pathName;
        const auto revision = request.method == "DELETE" ? query(request.target, "revision") : member(metadata, "revision");
        auto &objects = kinds_[kind];
        const auto found = objects.find(name);
        const bool exists = found != objects.end();
        if (request.method == "POST" ? exists : (exists && !revision.empty() && std::to_string(found->second.revision) != revision)) {
            body = describe(name, found->second);
            return 409;
        }
        if (request.method != "POST" && !exists) {
            return 404;
        }
        if (request.method == "DELETE") {
            ++revision_;
            events_.push_back({revision_, kind, true, describe(name, found->second)});
            objects.erase(found);
            changed_.notify_all();
            return 200;
        }
        body = describe(name, set(kind, name, member(request.body, "spec")));
        return request.method == "POST" ? 201 : 200;
    }

    Server server_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::map<std::string, Object>> kinds_;
    std::vector<Event> events_;
    std::uint64_t revision_ = 1;
    std::uint64_t era_ = 1;
    bool isAway_ = false;
};

/// Gateway processes, started with the command and the template of the deploy file.
class Gateways
{
public:
    Gateways(std::string prefix, std::string folder, int storePort)
        : prefix_(std::move(prefix))
        , folder_(std::move(folder))
        , storePort_(storePort)
    {
    }
    ~Gateways()
    {
        stop();
    }
    void stop()
    {
        for (const auto pid : pids_) {
            ::kill(pid, SIGKILL);
            ::waitpid(pid, nullptr, 0);
        }
        pids_.clear();
    }
    std::string host(int number) const
    {
        return prefix_ + std::to_string(150 + number);
    }
    bool start(int number)
    {
        const std::map<std::string, std::string> fields{
            {"node", "edge-" + std::to_string(number)},
            {"zone", "z-" + std::string(1, static_cast<char>('a' + number % 3))},
            {"limits.max_fds", "4200"},
            {"limits.memory_mb", "260"},
            {"limits.link_mbps", "1000"},
            {"listen.frontend", host(number) + ":8227"},
            {"listen.readiness", host(number) + ":8220"},
            {"ip", host(number)},
            {"port_range.0", "7340"},
            {"port_range.1", "7355"},
            {"platform.address", prefix_ + "250:" + std::to_string(storePort_)},
            {"bounds.grace_s", "8"},
            {"bounds.stall_ms", "6000"},
            {"bounds.retry_budget", "0.2"},
            {"bounds.retry_slack", "132"},
            {"bounds.budget_window_s", "10"},
        };
        std::ifstream source("deploy/gateway.ini");
        std::string text((std::istreambuf_iterator<char>(source)), {});
        for (const auto &[name, value] : fields) {
            const auto placeholder = "{{" + name + "}}";
            for (auto position = text.find(placeholder); position != std::string::npos; position = text.find(placeholder)) {
                text.replace(position, placeholder.size(), value);
            }
        }
        const auto path = folder_ + "/edge-" + std::to_string(number);
        std::ofstream(path + ".ini") << text;
        const pid_t parent = ::getpid();
        const pid_t pid = ::fork();
        if (pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (::getppid() != parent) {
                ::_exit(1);
            }
            const int log = ::open((path + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(log, 1);
            ::dup2(log, 2);
            const auto settings = path + ".ini";
            ::execl("target/carawaypoint", "target/carawaypoint", "gateway", "--settings", settings.c_str(), nullptr);
            ::_exit(127);
        }
        pids_.push_back(pid);
        return pid > 0;
    }
    pid_t pid(int number) const
    {
        return pids_.at(static_cast<std::size_t>(number));
    }
    /// The status of a readiness check, as the platform makes it; 0 without an answer.
    int readiness(int number) const
    {
        const auto socket = Socket::connect(host(number), 8220);
        Message answer;
        if (!socket || !socket->send("GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n") || !socket->readHead(answer, 1000)) {
            return 0;
        }
        return answer.status;
    }
    bool waitUntilReady(int count, int seconds) const
    {
        for (int tries = 0; tries < seconds * 10; ++tries) {
            int ready = 0;
            for (int number = 0; number < count; ++number) {
                ready += readiness(number) == 200 ? 1 : 0;
            }
            if (ready == count) {
                return true;
            }
            sleepMs(100);
        }
        return false;
    }

private:
    std::string prefix_;
    std::string folder_;
    int storePort_;
    std::vector<pid_t> pids_;
};

/// Whether the case is run with its disruption: unless TROUBLE is 0.
inline bool isTrouble()
{
    const char *trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
}

inline std::uint64_t nowMs()
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<Ms>(std::chrono::system_clock::now().time_since_epoch()).count());
}

/// 127.x.y. of this process.
inline std::string loopbackPrefix()
{
    return "127." + std::to_string(100 + ::getpid() % 100) + "." + std::to_string(1 + ::getpid() / 100 % 200) + ".";
}

}
