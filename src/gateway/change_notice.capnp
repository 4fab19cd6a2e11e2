@0x9d3e5b7a41c6f208;
# Datagram from a relay to the gateways that follow the store through it. Regenerate the committed code after changing this file:
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

struct ChangeNotice {
    fromRevision @0 :UInt64; # store revision; the changes are those after it
    toRevision @1 :UInt64;
    configVersion @2 :UInt64; # object version of the sender's configuration
    unsettledMs @3 :UInt32; # time for which the sender still defers removals after the store was unavailable
    changes @4 :List(ServerChange);
    isComplete @5 :Bool; # whether changes contains all changes between the revisions; false when they exceed the size of a datagram
}
