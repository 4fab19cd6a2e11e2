#pragma once

#include "idempotency/claim_store.h"

namespace carawaypoint
{

/// A claim that this process created and whose outcome is not recorded yet.
struct ClaimStore::Claim {
    ClaimMachine machine;
    ClaimCall call;
    std::string name; // of the object
    WallTime createdAt{}; // of the key
    std::uint64_t version = 0; // of the object as last written by this process
    RecordedAnswer answer; // when completed
    bool isObjectMissing = false; // the object no longer exists, so the outcome is written as a new object
    bool isWriting = false; // a write of the outcome is in progress
    TimePoint retryAt{};
    Duration retryDelay{};
    std::function<void()> done; // called after the first attempt to write the outcome; may be null
};

/// State of an acquire() in progress.
struct ClaimStore::Begin {
    ClaimCall call;
    BeginHandler handler;
    std::string name;
    std::string token;
    unsigned attempts = 0; // writes and reads so far
    std::optional<std::uint64_t> highestRevisionBefore; // highest platform revision known before the first write
};

}
