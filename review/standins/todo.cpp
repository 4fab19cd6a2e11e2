#include "fleet.h"
namespace review {
asio::awaitable<Verdict> silentConnections(Fleet &, bool) { co_return Verdict::NotRun; }
asio::awaitable<Verdict> lateRemoval(Fleet &, bool) { co_return Verdict::NotRun; }
asio::awaitable<Verdict> requestDuringStop(Fleet &, bool) { co_return Verdict::NotRun; }
}
