#include "routing/rendezvous.h"

#include <xxhash.h>

namespace carawaypoint
{

std::uint64_t rendezvousScore(std::uint64_t node, std::uint64_t key)
{
    return XXH3_64bits_withSeed(&node, sizeof(node), key);
}

}
