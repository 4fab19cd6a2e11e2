#include "gateway/request_traits.h"

#include <xxhash.h>

namespace carawaypoint
{

namespace
{

/// Hash of @p text after what @p seed stands for.
std::uint64_t appendHash(std::uint64_t seed, std::string_view text)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

}

std::vector<TraitId> requestTraits(const WireNames &names,
                                   const boost::beast::http::request<boost::beast::http::string_body> &request,
                                   const ServerPool &pool,
                                   const CustomerId &customer)
{
    std::vector<TraitId> traits;
    if (names.parsePromptParts != nullptr) {
        const auto seed = appendHash(appendHash(0, pool.first.str()), pool.second.str());
        for (const auto part : names.parsePromptParts(request[names.promptParts])) {
            traits.push_back(XXH3_64bits_withSeed(&part, sizeof(part), seed));
        }
    }
    const std::string_view target = request.target();
    traits.push_back(appendHash(appendHash(appendHash(0, target), customer.str()), request.body()));
    return traits;
}

}
