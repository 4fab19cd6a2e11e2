@0xd3f6a1c07b5e9248;
# RPC protocol between daemons. Regenerate the committed code after each change of this file:
#   cd src/protocol && capnp compile -oc++ peer.capnp && mv peer.capnp.c++ peer.capnp.cpp
# Never reuse a field number: daemons of consecutive versions must be able to communicate.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("carawaypoint::wire");

struct Member {
    id @0 :Text;
    zone @1 :Text;
    address @2 :Text; # address:port of the peer protocol
    process @3 :UInt64;
    revision @4 :UInt32;
    status @5 :UInt8;
    generation @6 :UInt64;
    generationDigest @7 :UInt64;
}

struct Counts {
    customerKeys @0 :List(UInt32);
    customerCounts @1 :List(UInt16);
    replicaKeys @2 :List(UInt32);
    replicaCounts @3 :List(UInt16);
}

struct Entry {
    version @0 :UInt32;
    kind @1 :UInt8;
    flags @2 :UInt8; # bit set: 1 removed, 2 seen, 4 loaded, 8 leaving
    running @3 :UInt16;
    number @4 :UInt64; # epoch of the fencing number in an observation
    incarnation @5 :UInt64;
    queued @6 :UInt16;
    runningLong @7 :UInt16;
    tokensPerSecond @8 :UInt32;
    union {
        key @9 :Text;
        counts @10 :KeyedCounts;
    }
}

struct KeyedCounts {
    key @0 :Text;
    counts @1 :Counts;
}

struct Delta {
    owner @0 :UInt32;
    from @1 :UInt32;
    floor @2 :UInt32;
    upTo @3 :UInt32;
    entries @4 :List(Entry);
}

struct Summary {
    isPresent @0 :Bool;
    isFresh @1 :Bool;
    ageMs @2 :UInt32;
    missing @3 :List(Text);
    counts @4 :Counts;
}

struct Message {
    sender @0 :Member;
    memberDigest @1 :UInt64;
    platformRevision @2 :UInt64;
    isRequestingFull @3 :Bool;
    isFull @4 :Bool;
    members @5 :List(Member);
    # Parallel lists take 10 bytes per stamp; a list of structs would take 16. Only the first owners have a time.
    stampOwners @6 :List(UInt32);
    stampTimes @7 :List(UInt16);
    stampVersions @8 :List(UInt32);
    stampSinceException @11 :List(UInt8);
    deltas @9 :List(Delta);
    summary @10 :Summary;
}

struct Signal {
    kind @0 :UInt8;
    subject @1 :Text;
    weightThousandths @2 :UInt64;
}

struct RecordStamp {
    name @0 :Text; # zone.domain
    epoch @1 :UInt64;
    sequence @2 :UInt64;
}

struct Vm {
    id @0 :Text;
    address @1 :Text;
    zone @2 :Text;
    domain @3 :Text;
    pool @4 :Text;
    isLeaving @5 :Bool;
}

struct Answer {
    process @0 :UInt64; # incarnation of the answering process
    code @1 :UInt16; # result code; 100 is success
}

interface Peer {
    # A Message in the packed encoding, which is a third smaller than the plain one.
    exchange @0 (message :Data) -> (answer :Answer, message :Data);
    fetchConfig @1 () -> (answer :Answer, generation :UInt64, digest :UInt64, text :Data);
    # The next two methods are run only when expectedProcess is the incarnation of the called process.
    relinquishClaim @2 (expectedProcess :UInt64, service :Text, key :Text, token :Text) -> (answer :Answer, outcome :UInt8);
    confirmNoOrdersInFlight @3 (expectedProcess :UInt64, zone :Text, domain :Text, epoch :UInt64) -> (answer :Answer, isConfirmed :Bool);
    reportSignals @4 (signals :List(Signal)) -> (answer :Answer);
    # Returns the domain records that are newer than the caller's, and the platform's VM list as the peer last fetched it.
    fetchAssignment @5 (known :List(RecordStamp)) -> (answer :Answer, records :List(Text), vms :List(Vm));
}
