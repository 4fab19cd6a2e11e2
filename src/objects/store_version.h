#pragma once

#include <cstdint>

namespace carawaypoint
{

/// Versions of objects and revisions of the store are an ordered pair of the store's era and its revision counter, kept in one number: the era in
/// the high bits. A store that comes back from an older copy starts a new era and gives out its counter again, so that the counter alone says
/// nothing about the order of two versions. A store that states no era is in era 0.
inline constexpr unsigned StoreCounterBits = 44; // 17 trillion changes
inline constexpr std::uint64_t MaxStoreCounter = (std::uint64_t{1} << StoreCounterBits) - 1;
/// Limits the terms of leases, which contain the era, to numbers that JSON represents exactly.
inline constexpr std::uint64_t MaxStoreEra = (std::uint64_t{1} << 16U) - 1;

constexpr std::uint64_t storeVersion(std::uint64_t era, std::uint64_t counter)
{
    return (era << StoreCounterBits) | (counter & MaxStoreCounter);
}

constexpr std::uint64_t storeEraOf(std::uint64_t version)
{
    return version >> StoreCounterBits;
}

constexpr std::uint64_t storeCounterOf(std::uint64_t version)
{
    return version & MaxStoreCounter;
}

}
