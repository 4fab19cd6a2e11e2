#pragma once

namespace carawaypoint
{

/// Blocks SIGINT, SIGTERM and SIGHUP in this thread and in threads that it starts afterwards. A daemon calls it first, because a
/// signal that arrives before its handlers are installed would end the process.
void holdSignals();
/// Unblocks these signals in this thread. Pending ones are delivered to the handlers that are installed now.
void releaseSignals();

}
