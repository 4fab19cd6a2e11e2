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
    slowness @5 :Float32; # duration of the server's recent work divided by the expected one; 0 when not known
    slownessSamples @6 :UInt32; # streams from which slowness was computed
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

struct Evacuations {
    revision @0 :UInt64; # of the store at which the zones were read
    zones @1 :List(Text); # availability zones whose servers must get no requests
}

struct ZoneLink {
    from @0 :Text; # availability zone of the gateways that observed it
    to @1 :Text; # availability zone of the servers
    isReachable @2 :Bool;
    ageMs @3 :UInt32; # of the observation
}

struct LeavingServer {
    server @0 :Text;
    startedAt @1 :UInt64; # identifies the server's process
    ageMs @2 :UInt32; # of the server's statement
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
    evacuations @10 :Evacuations; # the newest that the sender knows
    zoneLinks @11 :List(ZoneLink);
    leavingServers @12 :List(LeavingServer);
}
