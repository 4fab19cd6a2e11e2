// Tests messages that exceed one datagram.

#include "gateway/message_fragments.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace carawaypoint
{

namespace
{

constexpr TimePoint Start{hours(1)};
constexpr std::size_t FragmentBytes = 1000;
const Endpoint Sender{"10.0.0.1", 7000};
const Endpoint Other{"10.0.0.2", 7000};

std::vector<std::byte> makeMessage(std::size_t size)
{
    std::mt19937_64 random(size);
    std::vector<std::byte> bytes(size);
    std::generate(bytes.begin(), bytes.end(), [&random] { return static_cast<std::byte>(random()); });
    return bytes;
}

}

// Guards against a message that is damaged when its datagrams arrive out of order, twice, or between those of another sender.
TEST(MessageFragments, areAssembledInAnyOrder)
{
    const auto message = makeMessage(5500);
    auto fragments = divideMessage(message, 7, FragmentBytes);
    ASSERT_EQ(fragments.size(), 6U);
    std::shuffle(fragments.begin(), fragments.end(), std::mt19937_64(3));
    FragmentAssembler assembler;
    std::optional<std::vector<std::byte>> result;
    for (const auto &fragment : fragments) {
        EXPECT_FALSE(result);
        EXPECT_FALSE(assembler.add(Other, fragment.index == 2 ? MessageFragment{7, 2, 6, {}} : MessageFragment{7, 0, 6, {}}, Start));
        assembler.add(Sender, fragments.front(), Start);
        result = assembler.add(Sender, fragment, Start);
    }
    EXPECT_EQ(result, message);
}

// Guards against memory that grows with fragments whose message never becomes complete.
TEST(MessageFragments, incompleteMessagesAreBounded)
{
    FragmentAssembler assembler;
    const auto fragments = divideMessage(makeMessage(3000), 1, FragmentBytes);
    for (std::uint64_t message = 0; message < 100; ++message) {
        auto fragment = fragments.front();
        fragment.message = message;
        EXPECT_FALSE(assembler.add(Sender, fragment, Start + milliseconds(message)));
        EXPECT_LE(assembler.pendingCount(), FragmentAssembler::MaxMessages + 1);
    }
    assembler.add(Sender, fragments.front(), Start + seconds(10));
    EXPECT_EQ(assembler.pendingCount(), 1U);
}

// Guards against malformed fragments that use memory or end the process.
TEST(MessageFragments, malformedOnesAreIgnored)
{
    FragmentAssembler assembler;
    for (const auto &fragment : {MessageFragment{1, 0, 0, {}}, MessageFragment{1, 3, 3, {}}, MessageFragment{1, 0, FragmentAssembler::MaxFragments + 1, {}},
                                 MessageFragment{1, 4000000000U, 4000000000U, {}}}) {
        EXPECT_FALSE(assembler.add(Sender, fragment, Start));
    }
    EXPECT_EQ(assembler.pendingCount(), 0U);
    assembler.add(Sender, {1, 0, 2, {}}, Start);
    EXPECT_FALSE(assembler.add(Sender, {1, 1, 3, {}}, Start)) << "the counts differ";
}

}
