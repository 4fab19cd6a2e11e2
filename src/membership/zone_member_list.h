#pragma once

#include "objects/object_store.h"

#include <functional>
#include <vector>

namespace carawaypoint
{

/// The platform's object `members/<zone>` with one `address:port` per line. It is used only to find peers; an entry does not
/// mean that the peer is alive. Cost: one read per member and interval, at most one write per interval and zone.
class ZoneMemberList
{
public:
    ZoneMemberList(ObjectStore &store, ZoneId zone);

    /// Reads the list and passes its addresses to @p handler. With @p mayWrite, replaces the list by @p live when they differ,
    /// but a member that knows no other member does not shorten it.
    void refresh(const std::vector<Endpoint> &live, bool mayWrite, const std::function<void(std::vector<Endpoint>)> &handler);

private:
    ObjectStore &store_;
    ZoneId zone_;
};

}
