#pragma once

#include "idempotency/claim_store.h"

namespace carawaypoint
{

/// A claim whose token this process holds.
struct ClaimStore::Claim {
    ClaimMachine machine;
    ClaimCall call;
    std::string name; // of the object
    WallTime createdAt{}; // of the key
    std::uint64_t version = 0; // of the object as last written by this process
    RecordedAnswer answer; // when completed
    bool isAbsent = false; // the object vanished; the outcome is written as a new one
    bool isWriting = false;
    TimePoint retryAt{};
    Duration retryDelay{};
    std::function<void()> done; // called after the first attempt to record
};

/// A begin() in progress.
struct ClaimStore::Begin {
    ClaimCall call;
    BeginHandler handler;
    std::string name;
    std::string token;
    unsigned tries = 0;
    std::optional<std::uint64_t> seenBefore; // highest revision known before the first write
};

}
