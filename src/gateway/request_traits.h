#pragma once

#include "gateway/fleet_demand.h"
#include "gateway/wire_names.h"
#include "routing/crash_attribution.h"

#include <boost/beast/http.hpp>

#include <vector>

namespace carawaypoint
{

/// The traits by which crashes of backend servers are attributed to requests: the parts of the prompt, and last the whole request.
///
/// The same part is another trait for another service or model, whose servers may not crash on it. A request that comes again has the same target,
/// customer and body; its other header fields, and with them the parts and the model, may differ.
std::vector<TraitId> requestTraits(const WireNames &names,
                                   const boost::beast::http::request<boost::beast::http::string_body> &request,
                                   const ServerPool &pool,
                                   const CustomerId &customer);

}
