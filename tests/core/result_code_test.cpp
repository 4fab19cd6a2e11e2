#include "core/result_code.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <set>
#include <sstream>
#include <string>

namespace carawaypoint
{

// Guards against two result codes with the same number or name, which callers could not distinguish.
TEST(ResultCode, numbersAndNamesAreUnique)
{
    std::set<int> numbers;
    std::set<std::string_view> names;
    for (const auto &info : resultCodeTable()) {
        EXPECT_TRUE(numbers.insert(static_cast<int>(info.code)).second) << info.name;
        EXPECT_TRUE(names.insert(info.name).second) << info.name;
    }
}

// Guards against a table in docs/result_codes.md that differs from the code.
TEST(ResultCode, documentedTableMatchesCode)
{
    const char *root = std::getenv("CARAWAYPOINT_SOURCE");
    ASSERT_NE(root, nullptr);
    std::ifstream file(std::string(root) + "/docs/result_codes.md");
    std::stringstream text;
    text << file.rdbuf();
    for (const auto &info : resultCodeTable()) {
        std::ostringstream row;
        row << "| " << static_cast<int>(info.code) << " | " << info.name << " | " << info.httpStatus << " | " << runStateName(info.runState) << " | "
            << info.advice << " |";
        EXPECT_NE(text.str().find(row.str()), std::string::npos) << row.str();
    }
}

TEST(ResultCode, unknownNumberIsInternal)
{
    EXPECT_EQ(resultCodeName(static_cast<ResultCode>(999)), "internal");
}

// Guards against log lines without the result code's name: the message of an error code has to be that name.
TEST(ResultCode, errorCodeMessageIsTheName)
{
    const std::error_code error = ResultCode::QueueFull;
    EXPECT_EQ(error.message(), "queue_full");
}

}
