#pragma once

#include <cstdint>

namespace carawaypoint
{

/// Score of a node for a key under rendezvous (highest random weight) hashing; the node with the highest score owns the
/// key. All daemons compute the same score.
std::uint64_t rendezvousScore(std::uint64_t node, std::uint64_t key);

}
