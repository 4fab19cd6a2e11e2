// Tests how the era that the platform's store states in its answers is read.

#include "platform/store_era.h"

#include <gtest/gtest.h>

#include <vector>

namespace carawaypoint
{

namespace
{

HttpAnswer answerOfEra(const std::string &era)
{
    return {200, "{}", {{"Content-Type", "application/json"}, {"store-era", era}}};
}

class StoreEraTest : public testing::Test
{
protected:
    StoreEraTest()
    {
        era_.setRiseHandler([this](std::uint64_t before, std::uint64_t now) { rises_.emplace_back(before, now); });
    }

    StoreEra era_;
    std::vector<std::pair<std::uint64_t, std::uint64_t>> rises_;
};

}

// Guards against a restored store that is taken for the one before, and against a first answer that is taken for a restoration.
TEST_F(StoreEraTest, onlyAHigherEraThanTheFirstIsARise)
{
    EXPECT_TRUE(era_.accept({200, "{}", {}}));
    EXPECT_EQ(era_.latest(), 0U);
    EXPECT_TRUE(era_.accept(answerOfEra("3")));
    EXPECT_TRUE(era_.accept(answerOfEra("3")));
    EXPECT_TRUE(rises_.empty());
    EXPECT_TRUE(era_.accept(answerOfEra("5")));
    ASSERT_EQ(rises_.size(), 1U);
    EXPECT_EQ(rises_[0], std::pair(std::uint64_t{3}, std::uint64_t{5}));
    EXPECT_TRUE(era_.accept({503, "", {}})) << "an answer without an era belongs to the latest";
    EXPECT_EQ(era_.latest(), 5U);
}

// Guards against an old connection whose late answer brings back what the store has lost.
TEST_F(StoreEraTest, answersFromAnEndedEraAreRejected)
{
    EXPECT_TRUE(era_.accept(answerOfEra("2")));
    EXPECT_TRUE(era_.accept(answerOfEra("3")));
    EXPECT_FALSE(era_.accept(answerOfEra("2")));
    EXPECT_EQ(era_.latest(), 3U);
    EXPECT_TRUE(era_.accept(answerOfEra("3")));
}

// Guards against a header that is damaged or sent twice and ends the service of a gateway, or makes it ignore the store for good.
TEST_F(StoreEraTest, malformedErasAreIgnored)
{
    EXPECT_TRUE(era_.accept(answerOfEra("2")));
    for (const auto *text : {"", "x", "-1", "3x", " 3", "3.0", "65536", "18446744073709551616", "99999999999999999999999"}) {
        EXPECT_TRUE(era_.accept(answerOfEra(text))) << text;
    }
    EXPECT_TRUE(era_.accept({200, "{}", {{"Store-Era", "3"}, {"Store-Era", "4"}}}));
    EXPECT_EQ(era_.latest(), 2U);
    EXPECT_TRUE(rises_.empty());
}

}
