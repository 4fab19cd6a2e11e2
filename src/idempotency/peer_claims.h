#pragma once

#include "core/ids.h"
#include "idempotency/claim_record.h"

#include <cstdint>
#include <functional>
#include <string>

namespace carawaypoint
{

/// A claim of another daemon that a re-sent call needs.
struct ClaimReference {
    ServiceId service;
    std::string key;
    std::string token;
    ClaimOwner owner;
};

enum class RelinquishResult : std::uint8_t {
    Relinquished, // the owner never sent the call under this token and never will
    Refused, // the owner sent it, or has an answer that is not recorded yet
    OwnerEnded, // the owner's process is confirmed to have ended without saying which
    Unreachable, // nothing is known
};

/// Asks the owner of a claim over the peer protocol.
class PeerClaims
{
public:
    using Handler = std::function<void(RelinquishResult)>;

    virtual ~PeerClaims() = default;

    /// The handler is called exactly once, on the executor of the claim store. OwnerEnded is said only when the owner's
    /// address answers with another process incarnation, or the platform's VM list says that its VM is gone.
    virtual void relinquish(const ClaimReference &claim, Handler handler) = 0;
};

}
