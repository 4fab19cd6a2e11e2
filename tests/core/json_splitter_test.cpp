#include "core/json_reader.h"
#include "core/json_splitter.h"
#include "core/utf8.h"

#include <boost/json/serialize.hpp>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <random>

namespace carawaypoint
{

namespace
{

using testing::ElementsAre;
using testing::Optional;

/// A random JSON value whose texts hold the characters by which JSON is divided.
boost::json::value randomValue(std::mt19937 &random, unsigned depth)
{
    static constexpr std::string_view Characters = "a\"\\[]{},: \n\x01";
    const auto kind = random() % (depth == 0 ? 3 : 5);
    if (kind == 0) {
        return random();
    }
    if (kind == 1) {
        return nullptr;
    }
    if (kind == 2) {
        boost::json::string text;
        for (auto left = random() % 6; left > 0; --left) {
            text += Characters[random() % Characters.size()];
        }
        return text;
    }
    boost::json::array elements;
    boost::json::object members;
    for (unsigned count = random() % 4, number = 0; number < count; ++number) {
        elements.push_back(randomValue(random, depth - 1));
        members["k" + std::to_string(number)] = elements.back();
    }
    return kind == 3 ? boost::json::value(elements) : boost::json::value(members);
}

}

// Guards against an element that is cut at a bracket, a comma or a quote inside one of its texts.
TEST(JsonSplitter, dividesWhatTheParserReads)
{
    std::mt19937 random(7);
    for (unsigned round = 0; round < 2000; ++round) {
        const auto value = randomValue(random, 4);
        const auto text = boost::json::serialize(value);
        const auto elements = splitJsonArray(text);
        ASSERT_EQ(elements.has_value(), value.is_array()) << text;
        for (std::size_t index = 0; elements && index < elements->size(); ++index) {
            EXPECT_EQ(parseJson((*elements)[index]), value.as_array()[index]) << text;
        }
        const auto members = splitJsonObject(text);
        ASSERT_EQ(members.has_value(), value.is_object()) << text;
        for (std::size_t index = 0; members && index < members->size(); ++index) {
            EXPECT_EQ(parseJson((*members)[index].value), value.as_object().at((*members)[index].key)) << text;
        }
    }
}

TEST(JsonSplitter, allowsBlanksAndTakesTheLastOfEqualKeys)
{
    EXPECT_THAT(splitJsonArray(" [ 1 , \"a\"\n, [ ] ] "), Optional(ElementsAre("1", "\"a\"", "[ ]")));
    EXPECT_THAT(splitJsonArray("[]"), Optional(ElementsAre()));
    EXPECT_EQ(findJsonMember(R"({ "a" : 1 , "b" : [2] , "a" : 3 })", "a"), "3");
    EXPECT_EQ(findJsonMember("{}", "a"), "");
    EXPECT_EQ(findJsonMember("nonsense", "a"), "");
}

// Guards against half of an answer that counts as a whole one.
TEST(JsonSplitter, refusesWhatIsNotWhole)
{
    for (const auto *text : {"", "[", "[1", "[1,", "[1,]", "[,1]", "[1 2]", "[\"a]", "[\"a\\\"]", "[[1]", "[1]x", "{}"}) {
        EXPECT_FALSE(splitJsonArray(text)) << text;
    }
    for (const auto *text : {"", "{", "{\"a\"", "{\"a\":", "{\"a\":1", "{\"a\":1,", "{\"a\":1,}", "{a:1}", "{\"a\" 1}", "{\"a\":}", "{\"a\":1}x", "[]"}) {
        EXPECT_FALSE(splitJsonObject(text)) << text;
    }
}

// Guards against two names that become one, and against a name that differs between a list and a watch.
TEST(JsonSplitter, decodesStringsThatAreNoUnicode)
{
    EXPECT_THAT(decodeJsonString(R"("a\"\\\/\b\f\n\r\tz")"), Optional(std::string("a\"\\/\b\f\n\r\tz")));
    EXPECT_THAT(decodeJsonString(R"("\u00fc\u20AC\ud83d\ude00\u0000")"), Optional(std::string("\xc3\xbc\xe2\x82\xac\xf0\x9f\x98\x80\0", 10)));
    EXPECT_THAT(decodeJsonString(R"("\udcfc")"), Optional(std::string("\xed\xb3\xbc")));
    EXPECT_THAT(decodeJsonString(R"("\ud83d\u0041")"),
                Optional(std::string("\xed\xa0\xbd"
                                     "A")));
    EXPECT_THAT(decodeJsonString("\"M\xfcnchen\""), Optional(std::string("M\xfcnchen")));
    for (const auto *text : {"", "\"", "a", "1", "\"\\x\"", "\"\\u12\"", "\"\\u12g4\"", "\"\\\""}) {
        EXPECT_FALSE(decodeJsonString(text)) << text;
    }
}

// Guards against log lines and answers that are no JSON because of a name of another writer.
TEST(Utf8, invalidBytesAreFoundAndReplaced)
{
    for (const auto *text : {"", "a", "\xc3\xbc", "\xf0\x9f\x98\x80"}) {
        EXPECT_TRUE(isValidUtf8(text));
        EXPECT_EQ(replaceInvalidUtf8(text), text);
    }
    for (const auto *text : {"\xfc", "\xed\xb3\xbc", "\xc0\xaf", "a\xc3", "\xf4\x90\x80\x80"}) {
        EXPECT_FALSE(isValidUtf8(text));
        EXPECT_TRUE(isValidUtf8(replaceInvalidUtf8(text)));
    }
    EXPECT_EQ(replaceInvalidUtf8("M\xfcn"), "M\xef\xbf\xbdn");
}

}
