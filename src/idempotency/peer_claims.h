#pragma once

#include "core/ids.h"
#include "idempotency/claim_record.h"

#include <cstdint>
#include <functional>
#include <string>

namespace carawaypoint
{

/// Identifies a claim that another daemon created and that a re-sent call needs.
struct ClaimReference {
    ServiceId service;
    std::string key;
    std::string token;
    ClaimOwner owner;
};

enum class RelinquishResult : std::uint8_t {
    Relinquished, // the owner never sent the call under this token and never will
    Refused, // the owner sent it, or has an answer that is not recorded yet
    OwnerEnded, // the owner's process has ended, and it is not known whether it sent the call
    Unreachable, // the owner did not respond, so nothing is known
};

/// Requests claims from their owners over the peer protocol.
class PeerClaims
{
public:
    using Handler = std::function<void(RelinquishResult)>;

    virtual ~PeerClaims() = default;

    /// The handler is called exactly once, on the executor of the claim store. The result is OwnerEnded only when the owner's
    /// address responds with another process incarnation, or the owner's VM is no longer in the platform's VM list.
    virtual void relinquish(const ClaimReference &claim, Handler handler) = 0;
};

}
