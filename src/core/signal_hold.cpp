#include "core/signal_hold.h"

#include <initializer_list>

#include <csignal>

namespace carawaypoint
{

namespace
{

void changeSignalMask(int how)
{
    sigset_t signals;
    sigemptyset(&signals);
    for (const int signal : {SIGINT, SIGTERM, SIGHUP}) {
        sigaddset(&signals, signal);
    }
    ::pthread_sigmask(how, &signals, nullptr);
}

}

void holdSignals()
{
    changeSignalMask(SIG_BLOCK);
}

void releaseSignals()
{
    changeSignalMask(SIG_UNBLOCK);
}

}
