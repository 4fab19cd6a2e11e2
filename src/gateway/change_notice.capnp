@0x9d3e5b7a41c6f208;
# Datagram from a relay to the gateways that follow the store through it. Regenerate the committed code after a change of this file:
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
    fromRevision @0 :UInt64; # of the store: changes are those after it
    toRevision @1 :UInt64;
    configVersion @2 :UInt64; # object version of the configuration that the sender has
    unsettledMs @3 :UInt32; # for which removals may still be undone, since the store was away
    changes @4 :List(ServerChange);
    isComplete @5 :Bool; # changes holds all that happened between the revisions; false when they are too many for a datagram
}
