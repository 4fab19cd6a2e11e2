@0xb1c7d40e95a2f368;
# Datagram between gateways. Regenerate the committed code after changing this file:
#   cd src/gateway && capnp compile -oc++ load_report.capnp && mv load_report.capnp.c++ load_report.capnp.cpp
# Field numbers are never reused; gateways of neighbouring versions must understand each other.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("carawaypoint::wire");

struct ServerLoad {
    server @0 :Text;
    requests @1 :UInt32; # in progress at the server from this gateway
    isStalled @2 :Bool;
    unreadTokens @3 :UInt32; # prompt tokens of streams at the server without an event so far
    isProgressing @4 :Bool; # some stream at the server had an event recently
}

struct UnmetLoad {
    service @0 :Text;
    model @1 :Text; # empty for plain services
    requests @2 :Float32; # that would be in progress if they had not been rejected for lack of capacity
}

struct TraitCrash {
    id @0 :UInt64; # of the crash; the same at all gateways
    ageMs @1 :UInt32;
    isDisproved @2 :Bool; # a server has answered a request with the trait since
}

struct TraitEvidence {
    trait @0 :UInt64; # of requests that were lost with their servers
    crashes @1 :List(TraitCrash);
}

struct LoadReport {
    gateway @0 :Text;
    process @1 :UInt64; # incarnation of the process
    sequence @2 :UInt64;
    loads @3 :List(ServerLoad);
    requestsBegun @4 :UInt64; # since the process started
    zone @5 :Text; # set in sums: availability zone whose gateways are summed up, or of the sender if isFleetSum is set
    unmet @6 :List(UnmetLoad);
    isFleetSum @7 :Bool; # the gateways of all zones are summed up
    countAgeMs @8 :UInt32; # in sums: mean age of the counts when the sum was sent
    crashEvidence @9 :List(TraitEvidence); # of the sender, with what it has received; only what changed recently, and from time to time all
}
