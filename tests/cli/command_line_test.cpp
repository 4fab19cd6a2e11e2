#include "cli/command_line.h"
#include "tests/cli/fake_daemon.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>
#include <unistd.h>

namespace carawaypoint
{

namespace
{

using testing::HasSubstr;
using testing::Not;

constexpr const char *Base = "[pool p]\nengines_check_fencing = no\n[model m]\nversion = 1\nvms_per_replica = 4\nreplicas = 2\npool = p\n"
                             "[customer c]\nshare = 2\n[site]\ndaemons = 2\n";
constexpr const char *Overlay = "[site]\nzone = a\n";
constexpr const char *NoDaemon = "127.0.0.1:1"; // nothing listens on this port

struct RunOutput {
    int exitCode = 0;
    std::string out;
    std::string err;
};

RunOutput run(const std::vector<std::string> &arguments)
{
    std::ostringstream out;
    std::ostringstream err;
    const int exitCode = runCommandLine(arguments, out, err);
    return {exitCode, out.str(), err.str()};
}

class CommandLineTest : public testing::Test
{
protected:
    CommandLineTest()
    {
        unsetenv("CARAWAYPOINT_DAEMONS");
        std::filesystem::create_directories(directory_ / "sites");
        write("base.ini", Base);
        write("sites/north.ini", Overlay);
    }

    ~CommandLineTest() override
    {
        std::filesystem::remove_all(directory_);
    }

    void write(const std::string &name, const std::string &text)
    {
        std::ofstream(directory_ / name) << text;
    }

    std::string read(const std::string &name)
    {
        std::ostringstream text;
        text << std::ifstream(directory_ / name).rdbuf();
        return text.str();
    }

    RunOutput apply(const std::vector<std::string> &more = {})
    {
        std::vector<std::string> arguments{"config", "apply", "--dir", directory_.string(), "--daemon", daemon_.address()};
        arguments.insert(arguments.end(), more.begin(), more.end());
        return run(arguments);
    }

    std::filesystem::path directory_ =
        std::filesystem::temp_directory_path() / ("cp-cli-" + std::to_string(getpid()) + "-" + testing::UnitTest::GetInstance()->current_test_info()->name());
    FakeDaemon daemon_;
};

}

// Guards against subcommands without help text, and against wrong usage that does not exit with code 2.
TEST_F(CommandLineTest, helpExitsWith0AndWrongUsageWith2)
{
    const std::vector<std::vector<std::string>> commands{
        {"config", "check"},     {"config", "diff"}, {"config", "apply"}, {"config", "show"}, {"config", "status"},
        {"config", "reference"}, {"status"},         {"drain"},           {"alarms"},         {"explain"}};
    for (auto command : commands) {
        command.emplace_back("--help");
        const auto help = run(command);
        EXPECT_EQ(help.exitCode, 0) << command[0];
        EXPECT_THAT(help.out, HasSubstr("Exit codes: 0"));
        command.back() = "--no-such-option";
        EXPECT_EQ(run(command).exitCode, 2) << command[0];
    }
    EXPECT_EQ(run({"--help"}).exitCode, 0);
    EXPECT_EQ(run({}).exitCode, 2);
    EXPECT_EQ(run({"status"}).exitCode, 2);
    EXPECT_EQ(run({"status", "--daemon", "nowhere"}).exitCode, 2);
    EXPECT_THAT(run({"stauts"}).err, HasSubstr("unknown subcommand stauts"));
    EXPECT_EQ(run({"drain", "--daemon", "127.0.0.1:1", "--daemon", "127.0.0.1:2"}).exitCode, 2) << "which daemon stops must not depend on reachability";
}

// Guards against errors without file and line, and against an exit code of 0 for an invalid configuration.
TEST_F(CommandLineTest, checkReportsErrorsAndExitsWith1)
{
    EXPECT_EQ(run({"config", "check", "--dir", directory_.string()}).exitCode, 0);
    const auto large = run({"config", "check", "--dir", directory_.string(), "--domain-size", "a:p=2"});
    EXPECT_EQ(large.exitCode, 1);
    EXPECT_THAT(large.err, HasSubstr("base.ini:5: model m.vms_per_replica: expected at most 2"));
    write("sites/north.ini", std::string(Overlay) + "[model m]\nreplicas = many\n");
    const auto invalid = run({"config", "check", "--dir", directory_.string(), "--json"});
    EXPECT_EQ(invalid.exitCode, 1);
    EXPECT_EQ(boost::json::parse(invalid.out).at("faults").as_array().size(), 1U);
    EXPECT_EQ(run({"config", "check", "--dir", "/nowhere"}).exitCode, 1);
}

// Guards against a first configuration that cannot be applied, and against a command that returns before the configuration is
// in force at every daemon.
TEST_F(CommandLineTest, applyWaitsUntilConfigurationIsInForce)
{
    daemon_.inForceAfterCalls = 2;
    daemon_.start();
    const auto first = apply();
    EXPECT_EQ(first.exitCode, 0) << first.err;
    EXPECT_THAT(first.out, HasSubstr("generation 1 is in force at every known daemon"));
    EXPECT_EQ(daemon_.statusCalls, 3);
    write("sites/north.ini", std::string(Overlay) + "[model m]\nreplicas = 3\n");
    const auto diff = run({"config", "diff", "--dir", directory_.string(), "--daemon", daemon_.address()});
    EXPECT_THAT(diff.out, HasSubstr("north: model m.replicas: '2' (base.ini:6) -> '3' ("));
    EXPECT_EQ(apply({"--dry-run"}).exitCode, 0);
    EXPECT_EQ(daemon_.generation, 1U);
    const auto second = apply({"--json"});
    EXPECT_EQ(second.exitCode, 0) << second.err;
    EXPECT_EQ(boost::json::parse(second.out).at("generation").as_int64(), 2);
    EXPECT_EQ(apply().exitCode, 0);
    EXPECT_EQ(daemon_.generation, 2U) << "equal texts must not make a new generation";
}

// Guards against success that is reported while a live daemon still has the old generation.
TEST_F(CommandLineTest, applyTimesOutWhileADaemonHasTheOldGeneration)
{
    daemon_.inForceAfterCalls = 1000;
    daemon_.start();
    const auto result = apply({"--wait", "0.3"});
    EXPECT_EQ(result.exitCode, 5);
    EXPECT_THAT(result.err, HasSubstr("not yet in force at: entry-2 (generation 0)"));
}

// Guards against files that revert a change that another operator applied after they were exported.
TEST_F(CommandLineTest, applyRefusesToRevertAnotherOperatorsChange)
{
    daemon_.start();
    ASSERT_EQ(apply().exitCode, 0);
    daemon_.documents.base += "[customer d]\nshare = 4\n";
    daemon_.generation = 2;
    write("sites/north.ini", std::string(Overlay) + "[model m]\nreplicas = 3\n");
    const auto conflict = apply();
    EXPECT_EQ(conflict.exitCode, 4);
    EXPECT_THAT(conflict.err, HasSubstr("north: customer d.share: none -> '4' (base.ini:13)"));
    EXPECT_THAT(conflict.err, Not(HasSubstr("replicas"))) << "only the other operator's change";
    EXPECT_EQ(daemon_.generation, 2U);
    std::filesystem::remove(directory_ / ".applied.json");
    EXPECT_EQ(apply().exitCode, 4);
    EXPECT_EQ(daemon_.generation, 2U);
    EXPECT_EQ(apply({"--expected-generation", "2"}).exitCode, 0);
    EXPECT_EQ(daemon_.generation, 3U);
}

// Guards against overwriting a change that another operator applies between the comparison and the write.
TEST_F(CommandLineTest, applyReportsAConflictAtTheWrite)
{
    daemon_.start();
    ASSERT_EQ(apply().exitCode, 0);
    daemon_.beforeApply = [this] {
        daemon_.documents.base += "[customer d]\nshare = 4\n";
        daemon_.generation = 2;
    };
    write("sites/north.ini", std::string(Overlay) + "[model m]\nreplicas = 3\n");
    const auto conflict = apply();
    EXPECT_EQ(conflict.exitCode, 4);
    EXPECT_THAT(conflict.err, HasSubstr("customer d.share: none -> '4'"));
    EXPECT_EQ(daemon_.documents.sites.at("north"), Overlay);
}

// Guards against a change that is reported as failed although it took effect and only its answer was lost, and against a
// refused change that is reported as done.
TEST_F(CommandLineTest, applyReportsLostAnswersAndRefusalsCorrectly)
{
    daemon_.losesAnswers = true;
    daemon_.start();
    const auto lost = apply();
    EXPECT_EQ(lost.exitCode, 0) << lost.err;
    EXPECT_THAT(lost.out, HasSubstr("the answer was lost"));
    daemon_.refusesChanges = true;
    write("sites/north.ini", std::string(Overlay) + "; changed\n");
    const auto refused = apply();
    EXPECT_EQ(refused.exitCode, 1);
    EXPECT_THAT(refused.err, HasSubstr("base.ini:3: model m.pool: expected a pool"));
}

// Guards against an exported directory that config apply does not accept.
TEST_F(CommandLineTest, showExportsFilesThatApplyAccepts)
{
    daemon_.start();
    ASSERT_EQ(apply().exitCode, 0);
    const auto other = (directory_ / "other").string();
    EXPECT_EQ(run({"config", "show", "--daemon", daemon_.address(), "--export", other}).exitCode, 0);
    EXPECT_EQ(read("other/base.ini"), Base);
    EXPECT_EQ(run({"config", "apply", "--dir", other, "--daemon", daemon_.address()}).exitCode, 0);
    const auto shown = run({"config", "show", "--daemon", daemon_.address(), "--site", "north"});
    EXPECT_EQ(shown.exitCode, 0);
    EXPECT_THAT(shown.out, testing::ContainsRegex("model m.replicas +2 +base.ini:6"));
    EXPECT_THAT(shown.out, testing::ContainsRegex("routing.queue_order +short_first +default"));
    EXPECT_EQ(run({"config", "show", "--daemon", daemon_.address(), "--site", "west"}).exitCode, 1);
    EXPECT_THAT(run({"config", "status", "--daemon", daemon_.address()}).out, testing::ContainsRegex("entry-2 +b +live +1"));
}

// Guards against subcommands that fail when only the first daemon is unreachable, or that do not report that no daemon answers.
TEST_F(CommandLineTest, subcommandsTryDaemonsInTurn)
{
    daemon_.answers["/admin/status"] =
        R"({"daemon":"entry-1","zone":"a","ready":true,"generation":3,"replicas":[{"replica":"r1","state":"serving","members":["vm-1","vm-2"]}]})";
    daemon_.start();
    const auto status = run({"status", "--daemon", NoDaemon, "--daemon", daemon_.address()});
    EXPECT_EQ(status.exitCode, 0) << status.err;
    EXPECT_THAT(status.out, HasSubstr("vm-1, vm-2"));
    for (const std::vector<std::string> &command :
         {std::vector<std::string>{"status"}, {"alarms"}, {"drain"}, {"explain", "r1"}, {"config", "status"}, {"config", "show"}}) {
        auto arguments = command;
        arguments.insert(arguments.end(), {"--daemon", NoDaemon});
        EXPECT_EQ(run(arguments).exitCode, 3) << command[0];
    }
}

// Guards against a subcommand that hangs on a daemon that accepts connections and never answers.
TEST_F(CommandLineTest, unresponsiveDaemonsTimeOut)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor unresponsive(context,
                                                {boost::asio::ip::address_v4::loopback(), 0}); // the kernel accepts connections, but nothing reads from them
    const auto address = "127.0.0.1:" + std::to_string(unresponsive.local_endpoint().port());
    daemon_.answers["/admin/alarms"] = R"({"active":[],"recent":[]})";
    daemon_.start();
    EXPECT_EQ(run({"alarms", "--timeout", "2", "--daemon", address}).exitCode, 3);
    EXPECT_EQ(run({"alarms", "--timeout", "2", "--daemon", address, "--daemon", daemon_.address()}).exitCode, 0);
    const auto drain = run({"drain", "--vm", "vm-1", "--timeout", "2", "--daemon", address, "--daemon", daemon_.address()});
    EXPECT_EQ(drain.exitCode, 3);
    EXPECT_TRUE(daemon_.drains.empty()) << "a request that may have taken effect is not sent to another daemon";
}

// Guards against two concurrent changes that both report success although one overwrites the other.
TEST_F(CommandLineTest, oneOfTwoConcurrentAppliesSucceeds)
{
    daemon_.start();
    ASSERT_EQ(apply().exitCode, 0);
    for (int round = 0; round < 20; ++round) {
        int exitCodes[2] = {};
        std::thread operators[2];
        for (int i = 0; i < 2; ++i) {
            const auto directory = (directory_ / ("operator-" + std::to_string(i))).string();
            ASSERT_EQ(run({"config", "show", "--daemon", daemon_.address(), "--export", directory}).exitCode, 0);
            std::ofstream(directory + "/base.ini", std::ios::app) << "; round " << round << " of operator " << i << "\n";
        }
        for (int i = 0; i < 2; ++i) {
            operators[i] = std::thread([this, i, &exitCodes] {
                exitCodes[i] =
                    run({"config", "apply", "--dir", (directory_ / ("operator-" + std::to_string(i))).string(), "--daemon", daemon_.address()}).exitCode;
            });
        }
        operators[0].join();
        operators[1].join();
        EXPECT_EQ(exitCodes[0] + exitCodes[1], 4) << "one apply must succeed (0) and the other must report a conflict (4)";
        EXPECT_EQ(exitCodes[0] * exitCodes[1], 0);
        const auto winner = "round " + std::to_string(round) + " of operator " + (exitCodes[0] == 0 ? "0" : "1");
        EXPECT_THAT(daemon_.documents.base, HasSubstr(winner));
    }
}

// Guards against active alarms with exit code 0, and against decisions of several daemons that are not sorted by time.
TEST_F(CommandLineTest, alarmsExplainAndDrainUseTheAdminAddress)
{
    daemon_.answers["/admin/alarms"] =
        R"({"active":[{"cause":"domain_lost a.d1","detail":"8 of 8 VMs do not answer","effects":["replica r1"],"advice":"check the rack"}],"recent":[]})";
    daemon_.answers["/admin/explain"] =
        R"({"subject":"q 1","records":[{"time":"2026-01-02T00:00:00.000Z","kind":"routing","choice":"r1","reason":"least load","fields":{}}]})";
    daemon_.start();
    FakeDaemon second;
    second.answers["/admin/explain"] =
        R"({"subject":"q 1","records":[{"time":"2026-01-01T00:00:00.000Z","kind":"admission","choice":"queued","reason":"no slot","fields":{}}]})";
    second.answers["/admin/alarms"] = R"({"active":[],"recent":[]})";
    second.start();
    const auto alarms = run({"alarms", "--daemon", daemon_.address()});
    EXPECT_EQ(alarms.exitCode, 1);
    EXPECT_THAT(alarms.out, HasSubstr("domain_lost a.d1: 8 of 8 VMs do not answer"));
    EXPECT_THAT(alarms.out, HasSubstr("affects replica r1"));
    EXPECT_EQ(run({"alarms", "--daemon", second.address()}).exitCode, 0);
    const auto explained = run({"explain", "q 1", "--daemon", daemon_.address(), "--daemon", second.address()});
    EXPECT_EQ(explained.exitCode, 0) << explained.err;
    EXPECT_LT(explained.out.find("admission: queued"), explained.out.find("routing: r1"));
    EXPECT_EQ(run({"drain", "--daemon", daemon_.address()}).exitCode, 0);
    EXPECT_EQ(run({"drain", "--vm", "vm-1", "--daemon", daemon_.address()}).exitCode, 0);
    EXPECT_THAT(daemon_.drains, testing::ElementsAre("{}", R"({"vm":"vm-1"})"));
}

}
