#include "core/signal_hold.h"

#include <gtest/gtest.h>

#include <csignal>

namespace carawaypoint
{

namespace
{

volatile std::sig_atomic_t received = 0;

void count(int)
{
    received = received + 1;
}

}

// Guards against a daemon that is killed by a reload or stop signal that arrives before its handlers are installed.
TEST(SignalHold, heldSignalsReachHandlersInstalledLater)
{
    holdSignals();
    ::raise(SIGHUP);
    ::raise(SIGTERM);
    std::signal(SIGHUP, count);
    std::signal(SIGTERM, count);
    EXPECT_EQ(received, 0);
    releaseSignals();
    EXPECT_EQ(received, 2);
    std::signal(SIGHUP, SIG_DFL);
    std::signal(SIGTERM, SIG_DFL);
}

}
