#include "core/ids.h"

#include <gtest/gtest.h>

namespace carawaypoint
{

// Guards against endpoints with a port that is missing, out of range or followed by other text.
TEST(Endpoint, rejectsMalformedText)
{
    struct Case {
        std::string_view text;
        bool isValid;
    };
    for (const auto &[text, isValid] : {Case{"127.0.0.1:80", true}, {"127.0.0.1", false}, {":80", false}, {"a:70000", false}, {"a:1x", false}, {"", false}}) {
        EXPECT_EQ(Endpoint::parse(text).isValid(), isValid) << text;
    }
}

}
