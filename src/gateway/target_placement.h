#pragma once

#include "gateway/target_selection.h"

#include <random>

namespace carawaypoint
{

/// Chooses one of @p candidates, which must not be empty, for a request.
///
/// When the counts of peers are current, the one with the lowest score. Otherwise all gateways would overload that one before the next counts
/// arrive: the requests that all of them send meanwhile are distributed so that they fill the targets to the same level. A target of this
/// distribution to which the gateway has an idle connection goes first.
const TargetCandidate &placeRequest(const TargetQuery &query, std::span<const TargetCandidate *const> candidates, std::mt19937_64 &random);

}
