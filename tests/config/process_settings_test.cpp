#include "config/process_settings.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace carawaypoint
{

namespace
{

constexpr std::string_view Complete = "[process]\nid = entry-1\nzone = a\nsite = north\n[listen]\nhttp = 127.0.0.1:80\nadmin = 127.0.0.1:81\n"
                                      "peer = 127.0.0.1:82\n[platform]\naddress = 127.0.0.1:90\n[peers]\nseeds = 127.0.0.2:82, 127.0.0.3:82\n";

std::vector<std::string> errorTexts(const ProcessSettingsResult &result)
{
    std::vector<std::string> texts;
    for (const auto &error : result.errors) {
        texts.push_back(error.toString());
    }
    return texts;
}

}

// Guards against values that are lost or read from the wrong key.
TEST(ProcessSettings, readsEveryKeyAndOverrides)
{
    const std::vector<std::string> overrides{"process.traffic_threads=4", "listen.http=127.0.0.9:8080", "log.file=/tmp/a=b"};
    const auto result = parseProcessSettings(Complete, "p.ini", overrides);
    EXPECT_THAT(errorTexts(result), testing::IsEmpty());
    EXPECT_EQ(result.settings.id.str(), "entry-1");
    EXPECT_EQ(result.settings.trafficThreads, 4U);
    EXPECT_EQ(result.settings.http.toString(), "127.0.0.9:8080");
    EXPECT_EQ(result.settings.peer.toString(), "127.0.0.1:82");
    EXPECT_EQ(result.settings.seeds.size(), 2U);
    EXPECT_EQ(result.settings.logLevel, "info");
    EXPECT_EQ(result.settings.logFile, "/tmp/a=b");
}

// Guards against a process that starts with a misspelled key, and against error output that contains only the first error.
TEST(ProcessSettings, reportsEveryErrorWithFileAndLine)
{
    std::string text(Complete);
    text += "[log]\nlevel = loud\nfiel = x\nnonsense\nalso nonsense\n[process]\nid = entry-2\ntraffic_threads = 2.5\n" + std::string(250, 'x') + "= 1\n";
    const std::vector<std::string> overrides{"listen.http=80", "listen"};
    EXPECT_THAT(errorTexts(parseProcessSettings(text, "p.ini", overrides)),
                testing::UnorderedElementsAre(
                    "p.ini:16: expected [section], key = value or a comment", "p.ini:17: expected [section], key = value or a comment",
                    "p.ini:14: log.level: expected one of debug, info, warning, error", "p.ini:15: log.fiel: unknown key",
                    "p.ini:19: process.id: expected once, stated before at p.ini:2", "p.ini:20: process.traffic_threads: expected a whole number from 1 to 64",
                    "p.ini:21: expected a line of fewer than 198 bytes", "--set:1: listen.http: expected address:port",
                    "--set:2: listen: expected section.key=value"));
}

// Guards against a process that starts although a required address is missing.
TEST(ProcessSettings, reportsMissingKeys)
{
    const auto result = parseProcessSettings("[process]\nid = a\nzone = a\nsite = a\n", "p.ini");
    EXPECT_EQ(result.errors.size(), 4U);
    EXPECT_THAT(errorTexts(result), testing::Contains("p.ini:1: listen.admin: missing, expected address:port"));
}

}
