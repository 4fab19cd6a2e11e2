#pragma once

#include "routing/quarantine.h"
#include "routing/replica_book.h"
#include "routing/replica_chooser.h"
#include "routing/request_record.h"

namespace carawaypoint
{

/// Places crash suspects: alone on a replica as far as replicas allow, one suspect per replica, one copy at a time, with
/// at most a third of the replicas set aside.
class SuspectPlacer
{
public:
    /// An empty choice means that the request waits. Sets a replica aside for @p record when one may be.
    Choice place(RequestRecord &record, std::span<ReplicaEntry *const> candidates, const ReplicaBook &book, const Quarantine &quarantine, TimePoint now) const;

    /// The request starts on its replica.
    static void start(RequestRecord &record, Quarantine &quarantine);
    /// The attempt ended.
    static void stop(RequestRecord &record, Quarantine &quarantine);
    /// The request leaves the queue without being granted.
    static void abandon(RequestRecord &record);
};

}
