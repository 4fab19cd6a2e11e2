@0x9d3e5b7a41c6f208;
# Datagram between a relay and the gateways that follow the store through it. Regenerate the committed code after changing this file:
#   cd src/gateway && capnp compile -oc++ change_notice.capnp && mv change_notice.capnp.c++ change_notice.capnp.cpp
# Field numbers are never reused; gateways of neighbouring versions must understand each other.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("carawaypoint::wire");

struct ServerChange {
    name @0 :Text;
    version @1 :UInt64; # of the object
    isRemoved @2 :Bool;
    value @3 :Text; # empty when removed
}

struct ConfigUpdate {
    baseVersion @0 :UInt64; # object version of the configuration that delta refers to; 0 when it refers to none
    version @1 :UInt64; # object version of the configuration that delta restores
    delta @2 :Data; # zstd frame with the base as its prefix
}

struct ChangeRequest {
    revision @0 :UInt64; # the sender knows the changes up to this store revision
    configVersion @1 :UInt64; # object version of the sender's configuration
}

struct Fragment {
    message @0 :UInt64; # the same in all fragments of a message of one sender
    index @1 :UInt32;
    count @2 :UInt32; # fragments of the message
    bytes @3 :Data; # all of them joined are a packed ChangeNotice
}

struct ChangeNotice {
    fromRevision @0 :UInt64; # store revision; the changes are those after it
    toRevision @1 :UInt64;
    configVersion @2 :UInt64; # object version of the sender's configuration
    unsettledMs @3 :UInt32; # time for which the sender still defers removals after the store was unavailable
    changes @4 :List(ServerChange);
    isComplete @5 :Bool; # whether changes contains all changes between the revisions; false for receivers of earlier versions
    packedChanges @6 :Data; # zstd frame of a message with the changes; changes is empty then, and the changes are complete
    configUpdate @7 :ConfigUpdate;
    request @8 :ChangeRequest; # from a follower to a relay; all other fields are unset then
    fragment @9 :Fragment; # all other fields are unset then
    isList @10 :Bool; # the changes are all servers that are registered at toRevision
}
