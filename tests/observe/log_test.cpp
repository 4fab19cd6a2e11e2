#include "observe/decision_log.h"
#include "observe/log.h"

#include <boost/json/parse.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sys/stat.h>
#include <thread>
#include <unistd.h>

namespace carawaypoint
{

namespace
{

std::vector<std::string> readLines(const std::string &path)
{
    std::ifstream file(path);
    std::vector<std::string> lines;
    for (std::string line; std::getline(file, line);) {
        lines.push_back(line);
    }
    return lines;
}

std::string temporaryPath(const std::string &name)
{
    return (std::filesystem::temp_directory_path() / (name + std::to_string(getpid()))).string();
}

}

// Guards against texts from callers that make a log line invalid JSON or inject a second line.
TEST(Log, everyLineIsOneJsonObject)
{
    const auto path = temporaryPath("cp-log-test-");
    startLog("entry-1", LogLevel::Info, path);
    logLine(LogLevel::Debug, "left out");
    logLine(LogLevel::Warning, "quote \" newline \n invalid \xff", {{"count", 3}, {"ratio", 0.5}, {"not_finite", 0.0 / 0.0}, {"flag", true}});
    logDecision("routing", "r-\"1\"", "replica-1", "least load", {{"load", 2U}});
    stopLog();
    const auto lines = readLines(path);
    std::filesystem::remove(path);
    ASSERT_EQ(lines.size(), 2U);
    const auto first = boost::json::parse(lines[0]).as_object();
    EXPECT_EQ(first.at("level"), "warning");
    EXPECT_EQ(first.at("process"), "entry-1");
    EXPECT_EQ(first.at("message"), "quote \" newline \n invalid \xEF\xBF\xBD");
    EXPECT_TRUE(first.at("not_finite").is_null());
    const auto second = boost::json::parse(lines[1]).as_object();
    EXPECT_EQ(second.at("subject"), "r-\"1\"");
    EXPECT_EQ(second.at("load"), 2);
}

// Guards against lines that are neither written nor counted as dropped, and against threads that block on a slow log file. The log
// is written to a pipe that is read only after all lines were logged.
TEST(Log, droppedLinesAreCounted)
{
    constexpr std::uint64_t Lines = 40'000;
    const auto path = temporaryPath("cp-log-drop-");
    ASSERT_EQ(mkfifo(path.c_str(), 0600), 0);
    const int pipe = open(path.c_str(), O_RDWR | O_NONBLOCK | O_CLOEXEC);
    ASSERT_GE(pipe, 0);
    const auto droppedBefore = droppedLogLines();
    startLog("entry-1", LogLevel::Info, path);
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int thread = 0; thread < 4; ++thread) {
        threads.emplace_back([] {
            for (std::uint64_t i = 0; i < Lines / 4; ++i) {
                logLine(LogLevel::Info, "line", {{"number", i}});
            }
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    const auto dropped = droppedLogLines() - droppedBefore;
    std::atomic<bool> isStopped{false};
    std::uint64_t written = 0;
    std::thread reader([&] {
        char buffer[65536];
        for (bool isLast = false;;) {
            const auto count = read(pipe, buffer, sizeof buffer);
            if (count > 0) {
                written += static_cast<std::uint64_t>(std::count(buffer, buffer + count, '\n'));
            } else if (isLast) {
                return;
            } else {
                isLast = isStopped;
                std::this_thread::sleep_for(std::chrono::milliseconds(1));
            }
        }
    });
    stopLog();
    isStopped = true;
    reader.join();
    close(pipe);
    std::filesystem::remove(path);
    EXPECT_GT(dropped, Lines / 2);
    EXPECT_EQ(written + dropped, Lines);
}

// Guards against frequent routing decisions that displace the placement decisions needed to explain the loss of a replica.
TEST(DecisionLog, kindsDoNotDisplaceEachOther)
{
    DecisionLog log(8);
    log.add({.kind = "placement", .subject = "r1", .choice = "vm-4"});
    for (int i = 0; i < 100; ++i) {
        log.add({.kind = "routing", .subject = "q" + std::to_string(i)});
    }
    EXPECT_EQ(log.find("r1").size(), 1U);
    EXPECT_TRUE(log.find("q91").empty());
    EXPECT_EQ(log.find("q92").size(), 1U);
}

// Guards against records in the wrong order after the ring buffer wrapped, and against records of unlimited size.
TEST(DecisionLog, findsTheLatestInOrderAndTruncatesLongTexts)
{
    DecisionLog log(4);
    for (int i = 0; i < 7; ++i) {
        log.add({.kind = "placement", .subject = "vm-1", .choice = std::to_string(i), .reason = std::string(5000, 'x')});
    }
    const auto found = log.find("vm-1", 3);
    ASSERT_EQ(found.size(), 3U);
    EXPECT_EQ(found.front().choice, "4");
    EXPECT_EQ(found.back().choice, "6");
    EXPECT_EQ(found.back().reason.size(), DecisionLog::MaxTextBytes);
}

}
