#include "config/generation_tracker.h"

#include <gtest/gtest.h>

namespace carawaypoint
{

// Guards against a configuration that reverts to an older one, whatever the order in which sources offer it.
TEST(GenerationTracker, neverGoesBack)
{
    using Verdict = GenerationTracker::Verdict;
    GenerationTracker tracker;
    const ConfigDocuments first{"first", {}};
    const ConfigDocuments second{"second", {}};
    EXPECT_EQ(tracker.offer(0, first), Verdict::Older);
    EXPECT_FALSE(tracker.hasConfig());
    EXPECT_EQ(tracker.offer(5, second), Verdict::Newer);
    EXPECT_EQ(tracker.offer(4, first), Verdict::Older);
    EXPECT_EQ(tracker.offer(5, second), Verdict::Known);
    EXPECT_EQ(tracker.offer(5, first), Verdict::Contradiction);
    EXPECT_EQ(tracker.documents().base, "second");
    EXPECT_TRUE(tracker.mustWriteBack(4));
    EXPECT_FALSE(tracker.mustWriteBack(5));
}

}
