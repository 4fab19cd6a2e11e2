#include "daemon/test_cluster.h"

#include "standins/child_process.h"

#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace carawaypoint
{

namespace json = boost::json;

namespace
{

constexpr unsigned PlatformHost = 1;
constexpr unsigned EngineControlHost = 2;
constexpr unsigned EngineHost = 3;
constexpr unsigned ServiceHost = 4;
constexpr unsigned FirstDaemonHost = 10;
constexpr unsigned ControlPort = 18000;
constexpr unsigned HttpPort = 18001;
constexpr unsigned AdminPort = 18002;
constexpr unsigned PeerPort = 18003;
constexpr unsigned FirstEnginePort = 18100;

// Test programs that run concurrently use different loopback networks, derived from their process ids.
constexpr unsigned FirstOctet = 20;
constexpr unsigned OctetCount = 200;

}

bool waitUntil(Duration limit, const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        std::this_thread::sleep_for(milliseconds(50));
    }
    return true;
}

TestCluster::TestCluster(const Options &options)
    : options_(options)
    , build_(std::getenv("CARAWAYPOINT_BUILD") == nullptr ? "build" : std::getenv("CARAWAYPOINT_BUILD"))
    , networkOctet_(FirstOctet + static_cast<unsigned>(getpid()) % OctetCount)
    , zoneOctetBase_(4 * (static_cast<unsigned>(getpid()) / OctetCount % 60))
{
    std::string name = (std::filesystem::temp_directory_path() / "carawaypoint-test-XXXXXX").string();
    directory_ = mkdtemp(name.data());
}

TestCluster::~TestCluster()
{
    for (const auto &[number, process] : daemons_) {
        stopProcess(process);
    }
    for (const pid_t process : standins_) {
        stopProcess(process);
    }
    if (!testing::Test::HasFailure()) {
        std::filesystem::remove_all(directory_);
    } else {
        std::cerr << "logs of the failed test are in " << directory_ << '\n';
    }
}

void TestCluster::stopProcess(pid_t process)
{
    kill(process, SIGKILL);
    waitpid(process, nullptr, 0);
}

Endpoint TestCluster::at(unsigned zone, unsigned host, unsigned port) const
{
    return {"127." + std::to_string(networkOctet_) + "." + std::to_string(zoneOctetBase_ + zone) + "." + std::to_string(host),
            static_cast<std::uint16_t>(port)};
}

Endpoint TestCluster::entry(unsigned daemon) const
{
    return at(zoneOf(daemon), FirstDaemonHost + daemon, HttpPort);
}

Endpoint TestCluster::admin(unsigned daemon) const
{
    return at(zoneOf(daemon), FirstDaemonHost + daemon, AdminPort);
}

Endpoint TestCluster::platform(unsigned zone) const
{
    return at(zone, PlatformHost, ControlPort);
}

Endpoint TestCluster::engineControl(unsigned zone) const
{
    return at(zone, EngineControlHost, ControlPort);
}

Endpoint TestCluster::serviceControl() const
{
    return at(1, EngineControlHost, ControlPort + 1);
}

std::vector<Endpoint> TestCluster::entries() const
{
    std::vector<Endpoint> all;
    for (unsigned number = 1; number <= options_.daemons; ++number) {
        all.push_back(entry(number));
    }
    return all;
}

LoadTarget TestCluster::target() const
{
    LoadTarget target;
    target.entries = entries();
    return target;
}

pid_t TestCluster::spawn(const std::string &name, const std::vector<std::string> &command) const
{
    const std::string log = directory_ + "/" + name + ".out";
    const pid_t process = fork();
    if (process != 0) {
        return process;
    }
    prctl(PR_SET_PDEATHSIG, SIGKILL); // ends the child process when the test process crashes
    const int file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    dup2(file, STDOUT_FILENO);
    dup2(file, STDERR_FILENO);
    standins::closeInheritedDescriptors();
    std::vector<char *> arguments;
    arguments.reserve(command.size() + 1);
    for (const auto &argument : command) {
        arguments.push_back(const_cast<char *>(argument.c_str()));
    }
    arguments.push_back(nullptr);
    execv(arguments.front(), arguments.data());
    _exit(127);
}

void TestCluster::startStandins()
{
    const std::string program = build_ + "/standins/carawaypoint-standins";
    std::vector<std::string> platformCommand{program, "platform"};
    for (unsigned zone = 1; zone <= options_.zones; ++zone) {
        platformCommand.insert(platformCommand.end(), {"--listen", platform(zone).toString()});
    }
    standins_.push_back(spawn("platform", platformCommand));
    ASSERT_TRUE(waitUntil(seconds(10), [this] { return callHttp(platform(1), "GET", "/v1/vms").status == 200; }));
    for (unsigned zone = 1; zone <= options_.zones; ++zone) {
        std::vector<std::string> command{program,  "engines",      "--zone",     "z" + std::to_string(zone),
                                         "--pool", "accelerators", "--platform", platform(zone).toString()};
        command.insert(command.end(), {"--control", engineControl(zone).toString(), "--base", at(zone, EngineHost, FirstEnginePort).toString()});
        command.insert(command.end(), {"--domains", std::to_string(options_.domainsPerZone), "--vms-per-domain", std::to_string(options_.vmsPerDomain)});
        command.insert(command.end(), {"--step-ms", std::to_string(options_.stepMs), "--load-ms", std::to_string(options_.loadMs), "--parallel-loads", "4"});
        if (!options_.engineChecksFencing) {
            command.emplace_back("--ignore-fencing");
        }
        standins_.push_back(spawn("engines-z" + std::to_string(zone), command));
    }
    std::vector<std::string> command{program, "service", "--pool", "booking", "--platform", platform(1).toString(), "--control", serviceControl().toString()};
    for (unsigned zone = 1; zone <= options_.zones; ++zone) {
        command.insert(command.end(), {"--listen", at(zone, ServiceHost, ControlPort).toString()});
    }
    standins_.push_back(spawn("service", command));
}

void TestCluster::startDaemon(unsigned number)
{
    std::string seeds;
    for (unsigned other = 1; other <= options_.daemons; ++other) {
        seeds += (seeds.empty() ? "" : ",") + at(zoneOf(other), FirstDaemonHost + other, PeerPort).toString();
    }
    const std::string zone = "z" + std::to_string(zoneOf(number));
    const std::string name = "entry-" + std::to_string(number);
    const std::string settings = directory_ + "/" + name + ".ini";
    std::ofstream(settings) << "[process]\nid = " << name << "\nzone = " << zone << "\nsite = " << zone
                            << "\ntraffic_threads = 1\n[listen]\nhttp = " << entry(number).toString() << "\nadmin = " << admin(number).toString()
                            << "\npeer = " << at(zoneOf(number), FirstDaemonHost + number, PeerPort).toString()
                            << "\n[platform]\naddress = " << platform(zoneOf(number)).toString() << "\n[peers]\nseeds = " << seeds
                            << "\n[log]\nlevel = info\nfile = " << directory_ << "/" << name << ".jsonl\n";
    daemons_[number] = spawn(name, {build_ + "/carawaypoint", "serve", "--settings", settings});
}

void TestCluster::signalDaemon(unsigned number, int signal)
{
    kill(daemons_.at(number), signal);
    if (signal == SIGKILL) {
        waitpid(daemons_.at(number), nullptr, 0);
        daemons_.erase(number);
    }
}

int TestCluster::waitForDaemon(unsigned number, Duration limit)
{
    int status = -1;
    const pid_t process = daemons_.at(number);
    if (!waitUntil(limit, [&] { return waitpid(process, &status, WNOHANG) == process; })) {
        return -1;
    }
    daemons_.erase(number);
    return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

void TestCluster::writeConfig() const
{
    std::filesystem::create_directories(configDirectory() + "/sites");
    std::ofstream base(configDirectory() + "/base.ini");
    base << "[pool accelerators]\nengines_check_fencing = " << (options_.engineChecksFencing ? "yes" : "no") << "\nloads_per_minute = 480\n"
         << "[model assistant]\nversion = 1\nvms_per_replica = 4\nreplicas = " << options_.replicasPerZone
         << "\nslots_per_replica = 8\nmax_prompt_tokens = 16384\nmax_output_tokens = 6000\nfirst_token_deadline = 20s\npool = accelerators\n"
         << "[service booking]\npool = booking\nrepeatable = no\ntimeout = 3s\n";
    for (unsigned customer = 1; customer <= 10; ++customer) {
        base << "[customer customer-" << customer << "]\nshare = 10\n";
    }
    base << "[site]\ndaemons = 2\n";
    for (unsigned zone = 1; zone <= options_.zones; ++zone) {
        std::ofstream(configDirectory() + "/sites/z" + std::to_string(zone) + ".ini") << "[site]\nzone = z" << zone << "\n";
    }
}

void TestCluster::applyConfig() const
{
    const auto read = [](const std::string &path) {
        std::ifstream file(path);
        std::stringstream text;
        text << file.rdbuf();
        return text.str();
    };
    json::object sites;
    for (unsigned zone = 1; zone <= options_.zones; ++zone) {
        const std::string name = "z" + std::to_string(zone);
        sites[name] = read(configDirectory() + "/sites/" + name + ".ini");
    }
    const json::object documents{{"base", read(configDirectory() + "/base.ini")}, {"sites", sites}};
    const json::object body{{"documents", documents}, {"expected_generation", 0}};
    LocalHttpAnswer answer;
    waitUntil(seconds(20), [&] {
        answer = callHttp(admin(1), "POST", "/admin/config", json::serialize(body));
        return answer.status == 200 || answer.status == 400;
    });
    ASSERT_EQ(answer.status, 200U) << answer.body;
}

void TestCluster::start()
{
    startStandins();
    for (unsigned number = 1; number <= options_.daemons; ++number) {
        startDaemon(number);
    }
    writeConfig();
    ASSERT_TRUE(waitUntil(seconds(20), [this] { return callHttp(admin(1), "GET", "/admin/status").status == 200; }));
    applyConfig();
    const unsigned expected = options_.replicasPerZone * options_.zones;
    for (unsigned number = 1; number <= options_.daemons; ++number) {
        ASSERT_TRUE(waitUntil(seconds(60), [&] { return completeReplicas(number) == expected; }))
            << "daemon " << number << ": " << json::serialize(status(number));
        ASSERT_TRUE(waitUntil(seconds(20), [&] { return callHttp(entry(number), "GET", "/readyz").status == 200; })) << "daemon " << number;
    }
}

void TestCluster::setPlatformFault(std::string_view text) const
{
    EXPECT_EQ(callHttp(platform(1), "POST", "/standin/faults", text).status, 200U);
}

void TestCluster::setEngineFault(unsigned zone, std::string_view text) const
{
    EXPECT_EQ(callHttp(engineControl(zone), "POST", "/standin/faults", text).status, 200U);
}

void TestCluster::setServiceFault(std::string_view text) const
{
    EXPECT_EQ(callHttp(serviceControl(), "POST", "/standin/faults", text).status, 200U);
}

json::object TestCluster::engineAudit() const
{
    json::object sum;
    for (unsigned zone = 1; zone <= options_.zones; ++zone) {
        const json::value audit = json::parse(callHttp(engineControl(zone), "GET", "/standin/audit").body);
        for (const auto &[name, value] : audit.as_object()) {
            if (!value.is_number()) {
                continue;
            }
            const auto number = value.to_number<std::int64_t>();
            const auto current = sum.contains(name) ? sum[name].to_number<std::int64_t>() : 0;
            sum[name] = std::string_view(name).starts_with("longest") ? std::max(current, number) : current + number;
        }
    }
    return sum;
}

std::map<std::string, std::uint64_t> TestCluster::bookingExecutions() const
{
    std::map<std::string, std::uint64_t> counts;
    const json::value executions = json::parse(callHttp(serviceControl(), "GET", "/standin/executions").body);
    for (const auto &[key, count] : executions.as_object()) {
        counts[std::string(key)] = count.to_number<std::uint64_t>();
    }
    return counts;
}

json::object TestCluster::status(unsigned daemon) const
{
    const auto answer = callHttp(admin(daemon), "GET", "/admin/status");
    return answer.status == 200 ? json::parse(answer.body).as_object() : json::object{};
}

unsigned TestCluster::completeReplicas(unsigned daemon) const
{
    const json::object current = status(daemon);
    unsigned complete = 0;
    if (const auto *replicas = current.if_contains("replicas")) {
        for (const auto &replica : replicas->as_array()) {
            complete += replica.as_object().at("state").as_string() == "whole" ? 1 : 0;
        }
    }
    return complete;
}

int TestCluster::runTool(const std::vector<std::string> &arguments, std::string &output) const
{
    std::vector<std::string> command{build_ + "/carawaypoint"};
    command.insert(command.end(), arguments.begin(), arguments.end());
    const std::string name = "tool-" + std::to_string(std::chrono::steady_clock::now().time_since_epoch().count());
    int status = 0;
    waitpid(spawn(name, command), &status, 0);
    std::ifstream file(directory_ + "/" + name + ".out");
    std::stringstream text;
    text << file.rdbuf();
    output = text.str();
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

}
