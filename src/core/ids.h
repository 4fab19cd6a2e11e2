#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace carawaypoint
{

/// A string identifier with a separate type for each kind of identifier.
template<typename Tag>
class StringId
{
public:
    StringId() = default;

    explicit StringId(std::string value)
        : value_(std::move(value))
    {
    }

    const std::string &str() const
    {
        return value_;
    }

    bool isEmpty() const
    {
        return value_.empty();
    }

    // NOLINTNEXTLINE(modernize-use-nullptr): false positive on the generated comparison with 0
    auto operator<=>(const StringId &) const = default;

    friend std::ostream &operator<<(std::ostream &out, const StringId &id)
    {
        return out << id.value_;
    }

private:
    std::string value_;
};

using VmId = StringId<struct VmTag>;
using ZoneId = StringId<struct ZoneTag>; // availability zone
using FabricDomainId = StringId<struct FabricDomainTag>; // unique within its zone
using ReplicaId = StringId<struct ReplicaTag>;
using ModelId = StringId<struct ModelTag>;
using CustomerId = StringId<struct CustomerTag>;
using ServiceId = StringId<struct ServiceTag>;
using MemberId = StringId<struct MemberTag>; // a daemon
using RequestId = StringId<struct RequestTag>;

/// Identifies a fabric domain uniquely in the fleet.
struct DomainKey {
    ZoneId zone;
    FabricDomainId domain;

    // NOLINTNEXTLINE(modernize-use-nullptr): false positive on the generated comparison with 0
    auto operator<=>(const DomainKey &) const = default;

    /// `<zone>.<domain>`, the name of the domain's object on the platform.
    std::string objectName() const
    {
        return zone.str() + "." + domain.str();
    }
};

/// Orders to one VM are ordered by this pair. An engine that checks it refuses an order with a lower number than the last one.
struct FencingNumber {
    std::uint64_t epoch = 0; // of the assignment controller
    std::uint64_t incarnation = 0; // of the replica

    // NOLINTNEXTLINE(modernize-use-nullptr): false positive on the generated comparison with 0
    auto operator<=>(const FencingNumber &) const = default;
};

/// Identifies one attempt to run a request on a backend server. An answer with another attempt id is dropped.
struct AttemptId {
    std::uint64_t process = 0; // incarnation of the daemon's process
    std::uint64_t sequence = 0; // number of the request in that process
    std::uint32_t attempt = 0; // number of the attempt for that request

    // NOLINTNEXTLINE(modernize-use-nullptr): false positive on the generated comparison with 0
    auto operator<=>(const AttemptId &) const = default;

    /// The value of the X-Attempt-Id header.
    std::string toString() const
    {
        return std::to_string(process) + "-" + std::to_string(sequence) + "-" + std::to_string(attempt);
    }
};

/// IP address and port of a process.
struct Endpoint {
    std::string address;
    std::uint16_t port = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): false positive on the generated comparison with 0
    auto operator<=>(const Endpoint &) const = default;

    bool isValid() const
    {
        return !address.empty() && port != 0;
    }

    std::string toString() const
    {
        return address + ":" + std::to_string(port);
    }

    /// Parses `address:port`; the result is invalid when @p text is malformed.
    static Endpoint parse(std::string_view text);
};

}

template<typename Tag>
struct std::hash<carawaypoint::StringId<Tag>> {
    std::size_t operator()(const carawaypoint::StringId<Tag> &id) const noexcept
    {
        return std::hash<std::string>{}(id.str());
    }
};
