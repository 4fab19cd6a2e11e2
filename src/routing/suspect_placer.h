#pragma once

#include "routing/quarantine.h"
#include "routing/replica_chooser.h"
#include "routing/replica_table.h"
#include "routing/request_record.h"

namespace carawaypoint
{

/// Chooses replicas for crash suspects, so that another crash affects few other requests. A suspect runs alone on an
/// isolated replica when one is available, at most one suspect runs on a replica and one request per fingerprint at a time.
/// At most a third of the replicas are isolated.
class SuspectPlacer
{
public:
    /// Returns an empty choice when the request has to wait. Isolates a replica for @p record when the limit allows one more.
    Choice place(RequestRecord &record,
                 std::span<TrackedReplica *const> candidates,
                 const ReplicaTable &replicaTable,
                 const Quarantine &quarantine,
                 TimePoint now) const;

    /// Marks the suspect as running on its replica.
    static void startSuspect(RequestRecord &record, Quarantine &quarantine);
    /// Marks the suspect as ended and releases its isolated replica.
    static void endSuspect(RequestRecord &record, Quarantine &quarantine);
    /// Lets the isolated replica of @p record take other requests again.
    static void releaseReservedReplica(RequestRecord &record);
};

}
